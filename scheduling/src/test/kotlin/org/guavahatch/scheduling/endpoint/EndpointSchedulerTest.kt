package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.EndpointCall
import org.guavahatch.protocol.message.Grant
import org.guavahatch.protocol.message.GrantRefused
import org.guavahatch.protocol.message.Offer
import org.guavahatch.protocol.message.OfferRefused
import org.guavahatch.protocol.message.Ready
import org.guavahatch.protocol.message.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class EndpointSchedulerTest {
    private val entry = Incarnation("entry.1")
    private val sidecar = Incarnation("sidecar.1")

    private fun scheduler(concurrent: Int = 1, prefills: Int = Int.MAX_VALUE) =
        EndpointScheduler(EndpointId("e"), "pool", sidecar, EndpointLimits(concurrent, Long.MAX_VALUE, prefills))

    private fun offer(
        sequence: Long,
        rank: Int = 0,
        remainingMilliseconds: Long = 2000,
        rule: DispatchRule = DispatchRule.AT_MOST_ONCE,
    ) = Offer(RequestId(entry, sequence), 1, rank, "account", 1, "route", 1.0, 0.0, 0, remainingMilliseconds, rule)

    private fun grant(sequence: Long, attempt: Int = 1, to: Incarnation = sidecar) =
        Grant(RequestId(entry, sequence), to, attempt, 2000, EndpointCall("POST", "/", "", "", ByteArray(0)))

    private fun List<EndpointEffect>.sent() = filterIsInstance<EndpointEffect.Send>().map { it.message }

    private fun List<EndpointEffect>.readySequences() = sent().filterIsInstance<Ready>().map { it.requestId.sequence }

    @Test
    fun `freed capacity goes to the highest waiting tier`() {
        val scheduler = scheduler()
        assertEquals(listOf(1L), scheduler.onMessage(entry, offer(1, rank = 2), 0).readySequences())
        scheduler.onMessage(entry, grant(1), 0)
        listOf(2L to 2, 3L to 0, 4L to 1).forEach { (sequence, rank) ->
            assertEquals(emptyList(), scheduler.onMessage(entry, offer(sequence, rank), 0).readySequences())
        }
        val order = listOf(1L, 3L, 4L).flatMap { sequence ->
            val next = scheduler.onExecutionEnded(RequestId(entry, sequence), wasDispatched = true, 10).readySequences()
            next.forEach { scheduler.onMessage(entry, grant(it), 10) }
            next
        }
        assertEquals(listOf(3L, 4L, 2L), order)
    }

    @Test
    fun `a grant is dispatched only with a matching reservation`() {
        class Case(val name: String, val grant: Grant, val isDispatched: Boolean, val isRefused: Boolean)
        listOf(
            Case("the reserved attempt", grant(1), isDispatched = true, isRefused = false),
            Case("another attempt", grant(1, attempt = 2), isDispatched = false, isRefused = true),
            Case("an unknown request", grant(9), isDispatched = false, isRefused = true),
            Case(
                "another incarnation of the sidecar",
                grant(1, to = Incarnation("old")),
                isDispatched = false,
                isRefused = false,
            ),
        ).forEach { case ->
            val scheduler = scheduler()
            scheduler.onMessage(entry, offer(1), 0)
            val effects = scheduler.onMessage(entry, case.grant, 0)
            assertEquals(case.isDispatched, effects.any { it is EndpointEffect.Execute }, case.name)
            assertEquals(case.isRefused, effects.sent().any { it is GrantRefused }, case.name)
        }
    }

    @Test
    fun `a repeated grant is neither dispatched again nor refused`() {
        val scheduler = scheduler()
        scheduler.onMessage(entry, offer(1), 0)
        scheduler.onMessage(entry, grant(1), 0)
        assertEquals(emptyList(), scheduler.onMessage(entry, grant(1), 1))
    }

    @Test
    fun `a leaving endpoint refuses offers and reserved grants`() {
        val scheduler = scheduler()
        scheduler.onMessage(entry, offer(1), 0)
        scheduler.onShutdown()
        val offered = scheduler.onMessage(entry, offer(2), 1).sent().single()
        assertEquals(RefusalReason.LEAVING, assertIs<OfferRefused>(offered).reason)
        val granted = scheduler.onMessage(entry, grant(1), 1).sent().single()
        assertEquals(RefusalReason.LEAVING, assertIs<GrantRefused>(granted).reason)
    }

    @Test
    fun `a resumable request is preempted for a waiting request of a higher tier`() {
        val scheduler = scheduler()
        scheduler.onMessage(entry, offer(1, rank = 3, rule = DispatchRule.RESUMABLE), 0)
        scheduler.onMessage(entry, grant(1), 0)
        scheduler.onMessage(entry, offer(2, rank = 0), 10)
        assertEquals(emptyList(), scheduler.onTick(990).filterIsInstance<EndpointEffect.Stop>())
        val stopped = scheduler.onTick(1010).filterIsInstance<EndpointEffect.Stop>().single()
        assertEquals(EndpointEffect.Stop(RequestId(entry, 1), StopReason.PREEMPTED), stopped)
    }

    @Test
    fun `requests that are not resumable are never preempted`() {
        listOf(DispatchRule.AT_MOST_ONCE, DispatchRule.REPEATABLE).forEach { rule ->
            val scheduler = scheduler()
            scheduler.onMessage(entry, offer(1, rank = 3, rule = rule), 0)
            scheduler.onMessage(entry, grant(1), 0)
            scheduler.onMessage(entry, offer(2, rank = 0), 10)
            assertEquals(emptyList(), scheduler.onTick(1500).filterIsInstance<EndpointEffect.Stop>(), rule.name)
        }
    }

    @Test
    fun `an application that has been busy for a long time still accepts offers`() {
        val scheduler = scheduler(concurrent = 2)
        var nowMilliseconds = 0L
        for (sequence in 1L..5000L) {
            val ready = scheduler.onMessage(entry, offer(sequence), nowMilliseconds).readySequences()
            assertEquals(listOf(sequence), ready, "after $nowMilliseconds ms of calls that take 5 ms each")
            scheduler.onMessage(entry, grant(sequence), nowMilliseconds)
            nowMilliseconds += 5
            scheduler.onTick(nowMilliseconds)
            scheduler.onExecutionEnded(RequestId(entry, sequence), wasDispatched = true, nowMilliseconds)
        }
        assertTrue(scheduler.digest().costPerSecond in 100.0..400.0, "${scheduler.digest()}")
    }

    @Test
    fun `a reservation without a grant expires`() {
        val scheduler = scheduler()
        scheduler.onMessage(entry, offer(1), 0)
        scheduler.onMessage(entry, offer(2), 0)
        val effects = scheduler.onTick(300)
        assertEquals(listOf(2L), effects.readySequences())
        assertEquals(RefusalReason.NO_RESERVATION, effects.sent().filterIsInstance<OfferRefused>().single().reason)
    }
}
