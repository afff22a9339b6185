package org.guavahatch.scheduling.tier

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.protocol.message.EndpointCall
import org.guavahatch.protocol.message.Grant
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.RequestMessage
import org.guavahatch.scheduling.choice.ExpectedCompletionChooser
import org.guavahatch.scheduling.dispatch.DispatchEffect
import org.guavahatch.scheduling.dispatch.RequestDispatcher
import org.guavahatch.scheduling.dispatch.RequestSpecification
import org.guavahatch.scheduling.endpoint.EndpointEffect
import org.guavahatch.scheduling.endpoint.EndpointLimits
import org.guavahatch.scheduling.endpoint.EndpointScheduler
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Simulates several entry instances and endpoints in virtual time, with digests that arrive two seconds late and a
 * burst of ten times the capacity in the middle. Endpoints serve one call per slot, and each call takes a fixed time.
 */
internal class BurstSimulation(seed: Int) {
    private class Event(val atMilliseconds: Long, val number: Int, val run: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.atMilliseconds }.thenBy { it.number })
    private var eventCount = 0
    private var nowMilliseconds = 0L
    val records = mutableListOf<TierRecord>()
    private val ranks = HashMap<RequestId, Int>()

    private val entries = List(ENTRIES) { Incarnation("entry$it") }
    private val dispatchers = entries.map { RequestDispatcher(ExpectedCompletionChooser(), { false }, Random(seed)) }
    private val endpoints = List(ENDPOINTS) { EndpointId("endpoint$it") }
    private val schedulers = endpoints.map {
        EndpointScheduler(it, POOL, Incarnation("$it.1"), EndpointLimits(SLOTS, Long.MAX_VALUE, SLOTS))
    }

    fun run() {
        connectAll()
        scheduleArrivals()
        for (atMilliseconds in 0L..END_MILLISECONDS step 10L) scheduleAt(atMilliseconds) { tick() }
        for (atMilliseconds in 0L..END_MILLISECONDS step DIGEST_MILLISECONDS) {
            scheduleAt(atMilliseconds) { sendDigests() }
        }
        while (events.isNotEmpty()) {
            val event = events.remove()
            nowMilliseconds = event.atMilliseconds
            event.run()
        }
    }

    private fun scheduleAt(atMilliseconds: Long, run: () -> Unit) {
        events += Event(atMilliseconds, eventCount++, run)
    }

    private fun scheduleAfter(delayMilliseconds: Long, run: () -> Unit) =
        scheduleAt(nowMilliseconds + delayMilliseconds, run)

    private fun connectAll() = dispatchers.indices.forEach { entry ->
        endpoints.forEach { endpoint ->
            val effects = dispatchers[entry].onEndpointConnected(endpoint, POOL, Incarnation("$endpoint.1"), true, 0)
            performEntry(entry, effects)
        }
    }

    private fun scheduleArrivals() {
        var atMilliseconds = 0.0
        val sequences = LongArray(ENTRIES)
        while (atMilliseconds < LAST_ARRIVAL_MILLISECONDS) {
            val load = if (atMilliseconds.toLong() in BURST_MILLISECONDS) 10.0 else 0.7
            atMilliseconds +=
                -kotlin.math.ln(1 - random.nextDouble()) * SERVICE_MILLISECONDS / (ENDPOINTS * SLOTS * load)
            val entry = random.nextInt(ENTRIES)
            val requestId = RequestId(entries[entry], ++sequences[entry])
            val rank = random.nextInt(4)
            val timeBudgetMilliseconds = random.nextLong(300, 1500)
            scheduleAt(atMilliseconds.toLong()) { submit(entry, requestId, rank, timeBudgetMilliseconds) }
        }
    }

    private fun submit(entry: Int, requestId: RequestId, rank: Int, timeBudgetMilliseconds: Long) {
        ranks[requestId] = rank
        records += TierRecord.Accepted(requestId, rank, nowMilliseconds)
        val specification = RequestSpecification(
            requestId = requestId,
            pool = POOL,
            route = "route",
            account = "account",
            share = 1,
            rank = rank,
            dispatch = DispatchRule.AT_MOST_ONCE,
            needsClaim = false,
            cost = 1.0,
            promptCost = 0.0,
            tokens = 0,
            prefixBlocks = emptyList(),
            deadlineMilliseconds = nowMilliseconds + timeBudgetMilliseconds,
        )
        performEntry(entry, dispatchers[entry].onSubmit(specification, nowMilliseconds))
    }

    private fun tick() {
        dispatchers.indices.forEach { performEntry(it, dispatchers[it].onTick(nowMilliseconds)) }
        schedulers.indices.forEach { performEndpoint(it, schedulers[it].onTick(nowMilliseconds)) }
    }

    private fun sendDigests() = schedulers.forEachIndexed { endpoint, scheduler ->
        val digest = scheduler.digest()
        entries.indices.forEach { entry -> scheduleAfter(DIGEST_MILLISECONDS) { toEntry(entry, endpoint, digest) } }
    }

    private fun performEntry(entry: Int, effects: List<DispatchEffect>) = effects.forEach { effect ->
        when (effect) {
            is DispatchEffect.Send -> toEndpoint(entry, effect.endpoint, effect.message)
            is DispatchEffect.SendGrant -> {
                val call = EndpointCall("POST", "/", "", "", ByteArray(0))
                val remaining = effect.remainingMilliseconds
                val grant = Grant(effect.requestId, effect.sidecar, effect.attempt, remaining, call)
                toEndpoint(entry, effect.endpoint, grant)
            }
            is DispatchEffect.Conclude -> conclude(effect)
            else -> Unit
        }
    }

    private fun conclude(effect: DispatchEffect.Conclude) {
        if (effect.outcome !is Outcome.NotRun) return
        records += TierRecord.Shed(effect.requestId, ranks.getValue(effect.requestId), nowMilliseconds)
    }

    private fun toEndpoint(entry: Int, endpoint: EndpointId, message: Message) {
        val index = endpoints.indexOf(endpoint)
        scheduleAfter(LATENCY_MILLISECONDS) {
            val effects = schedulers[index].onMessage(entries[entry], message as RequestMessage, nowMilliseconds)
            performEndpoint(index, effects)
        }
    }

    private fun toEntry(entry: Int, endpoint: Int, message: Message) {
        performEntry(entry, dispatchers[entry].onMessage(endpoints[endpoint], message, nowMilliseconds))
    }

    private fun performEndpoint(endpoint: Int, effects: List<EndpointEffect>) = effects.forEach { effect ->
        when (effect) {
            is EndpointEffect.Send -> {
                val entry = entries.indexOf(effect.entry)
                scheduleAfter(LATENCY_MILLISECONDS) { toEntry(entry, endpoint, effect.message) }
            }
            is EndpointEffect.Execute -> start(endpoint, effect)
            else -> Unit
        }
    }

    private fun start(endpoint: Int, effect: EndpointEffect.Execute) {
        val requestId = effect.grant.requestId
        records += TierRecord.Started(requestId, ranks.getValue(requestId), nowMilliseconds)
        scheduleAfter(SERVICE_MILLISECONDS.toLong()) {
            val entry = entries.indexOf(effect.entry)
            scheduleAfter(LATENCY_MILLISECONDS) {
                performEntry(entry, dispatchers[entry].onAnswerComplete(requestId, effect.grant.attempt))
            }
            performEndpoint(
                endpoint,
                schedulers[endpoint].onExecutionEnded(requestId, wasDispatched = true, nowMilliseconds),
            )
        }
    }

    internal companion object {
        const val POOL = "pool"
        const val ENTRIES = 4
        const val ENDPOINTS = 6
        const val SLOTS = 4
        const val SERVICE_MILLISECONDS = 80.0
        const val LATENCY_MILLISECONDS = 1L
        const val DIGEST_MILLISECONDS = 2000L
        const val LAST_ARRIVAL_MILLISECONDS = 9000.0
        const val END_MILLISECONDS = 12_000L
        val BURST_MILLISECONDS = 3000L..6000L
    }
}
