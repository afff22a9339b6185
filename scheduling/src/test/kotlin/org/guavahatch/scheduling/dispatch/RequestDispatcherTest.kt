package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.protocol.message.Cancel
import org.guavahatch.protocol.message.Declined
import org.guavahatch.protocol.message.Ready
import org.guavahatch.protocol.message.Straggling
import org.guavahatch.scheduling.choice.LeastOutstandingChooser
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RequestDispatcherTest {
    private val entry = Incarnation("entry")
    private val endpoints = List(4) { EndpointId("endpoint$it") }

    private fun dispatcher(settings: DispatcherSettings = DispatcherSettings()) =
        RequestDispatcher(LeastOutstandingChooser(), { false }, Random(1), settings).apply {
            endpoints.forEach { onEndpointConnected(it, "pool", Incarnation("$it.1"), isLocalZone = true, 0) }
        }

    private fun request(sequence: Long, rank: Int = 0, rule: DispatchRule = DispatchRule.RESUMABLE) =
        RequestSpecification(
            requestId = RequestId(entry, sequence),
            pool = "pool",
            route = "route",
            account = "account",
            share = 1,
            rank = rank,
            dispatch = rule,
            needsClaim = false,
            cost = 1.0,
            promptCost = 0.0,
            tokens = 0,
            prefixBlocks = emptyList(),
            deadlineMilliseconds = 10_000,
        )

    private fun RequestDispatcher.grantAt(endpoint: EndpointId, request: RequestSpecification) {
        onSubmit(request, 0)
        onTick(30)
        val granted = onMessage(endpoint, Ready(request.requestId), 31)
        assertTrue(granted.any { it is DispatchEffect.SendGrant })
    }

    @Test
    fun `requests that may be retried leave a straggler, at-most-once requests stay`() {
        listOf(
            DispatchRule.RESUMABLE to true,
            DispatchRule.REPEATABLE to true,
            DispatchRule.AT_MOST_ONCE to false,
        ).forEach { (rule, isMoved) ->
            val dispatcher = dispatcher()
            dispatcher.grantAt(endpoints[0], request(1, rule = rule))
            val effects = dispatcher.onMessage(endpoints[0], Straggling(true), 100)
            val cancelled = effects.any { it == DispatchEffect.Send(endpoints[0], Cancel(RequestId(entry, 1))) }
            assertEquals(isMoved, cancelled, rule.name)
        }
    }

    @Test
    fun `stragglers get no offers while they are fewer than half of the pool`() {
        listOf(0 to 4, 1 to 3, 2 to 4, 3 to 4, 4 to 4).forEach { (stragglers, accepting) ->
            val dispatcher = dispatcher()
            endpoints.take(stragglers).forEach { dispatcher.onMessage(it, Straggling(true), 0) }
            assertEquals(accepting, dispatcher.acceptingEndpoints("pool").size, "$stragglers stragglers")
        }
    }

    @Test
    fun `a second sidecar that is ready is declined`() {
        val dispatcher = dispatcher()
        dispatcher.grantAt(endpoints[0], request(1))
        val effects = dispatcher.onMessage(endpoints[1], Ready(RequestId(entry, 1)), 32)
        assertEquals(listOf(DispatchEffect.Send(endpoints[1], Declined(RequestId(entry, 1)))), effects)
    }

    @Test
    fun `a full entry instance displaces a waiting request of the lowest tier`() {
        val dispatcher = dispatcher(DispatcherSettings(maximumHeldRequests = 2))
        dispatcher.onSubmit(request(1, rank = 3), 0)
        dispatcher.onSubmit(request(2, rank = 1), 0)
        val displaced = dispatcher.onSubmit(
            request(3, rank = 0),
            0,
        ).filterIsInstance<DispatchEffect.Conclude>().single()
        assertEquals(RequestId(entry, 1), displaced.requestId)
        val refused = dispatcher.onSubmit(request(4, rank = 3), 0).filterIsInstance<DispatchEffect.Conclude>().single()
        assertEquals(RequestId(entry, 4), refused.requestId)
        assertEquals(NotRunReason.ENTRY_FULL, (refused.outcome as Outcome.NotRun).reason)
    }
}
