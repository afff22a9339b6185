package org.guavahatch.cli.bench

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.configuration.PoolKind
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.protocol.message.AnswerFailed
import org.guavahatch.protocol.message.EndpointCall
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.protocol.message.Grant
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.RequestMessage
import org.guavahatch.scheduling.choice.EndpointChooser
import org.guavahatch.scheduling.dispatch.DispatchEffect
import org.guavahatch.scheduling.dispatch.DispatcherSettings
import org.guavahatch.scheduling.dispatch.RequestDispatcher
import org.guavahatch.scheduling.dispatch.RequestSpecification
import org.guavahatch.scheduling.endpoint.EndpointEffect
import org.guavahatch.scheduling.endpoint.EndpointLimits
import org.guavahatch.scheduling.endpoint.EndpointScheduler
import org.guavahatch.scheduling.endpoint.EndpointSchedulerSettings
import org.guavahatch.scheduling.estimate.CostModel
import org.guavahatch.scheduling.estimate.LengthEstimator
import kotlin.random.Random

/**
 * Policy of the product: runs the production dispatchers of four entry instances and the production scheduler of the
 * sidecar at each engine. Messages between processes take 1 ms, and digests are two seconds old when they arrive.
 */
internal class GuavahatchPolicy(
    private val eventLoop: EventLoop,
    cacheCapacity: Int,
    seed: Int,
    chooser: EndpointChooser,
    dispatcherSettings: DispatcherSettings = DispatcherSettings(),
    schedulerSettings: EndpointSchedulerSettings = EndpointSchedulerSettings(initialCostPerSecond = 300.0),
) : BenchPolicy {
    private class TrackedRequest(val request: BenchRequest, val entry: Int) {
        var generatedTokens = 0
    }

    private val random = Random(seed)
    private val costModel = CostModel()
    private val lengthEstimators = List(ENTRY_COUNT) { LengthEstimator() }
    private val trackedRequests = HashMap<RequestId, TrackedRequest>()
    private val executions = HashMap<BenchRequest, Execution>()
    private val requestSequences = LongArray(ENTRY_COUNT)
    private val entryIncarnations = List(ENTRY_COUNT) { Incarnation("entry$it") }

    private class Execution(val requestId: RequestId, val attempt: Int, val engine: Int)

    private val dispatchers = List(ENTRY_COUNT) {
        RequestDispatcher(chooser, ::hasDelivered, Random(seed + it), dispatcherSettings)
    }

    private val listener = object : RecordingListener(eventLoop) {
        override fun onToken(request: BenchRequest, generatedTokens: Int) {
            super.onToken(request, generatedTokens)
            val current = executions[request] ?: return
            trackedRequests[current.requestId]?.generatedTokens = generatedTokens
            applyEndpointEffects(current.engine, schedulers[current.engine].onProgress(current.requestId, 1, now()))
        }

        override fun onCompleted(request: BenchRequest) {
            super.onCompleted(request)
            val current = executions.remove(request) ?: return
            val entry = trackedRequests.getValue(current.requestId).entry
            lengthEstimators[entry].observe(request.route, request.account, request.outputTokens)
            eventLoop.scheduleAfter(MESSAGE_LATENCY_MILLISECONDS) {
                applyEntryEffects(entry, dispatchers[entry].onAnswerComplete(current.requestId, current.attempt))
            }
            reportExecutionEnd(current)
        }
    }

    override val engines: List<BenchEngine> =
        BenchWorkload.SPEEDS.map { BenchEngine(eventLoop, it, cacheCapacity, listener) }
    private val endpoints = engines.indices.map { EndpointId("engine$it") }
    private val schedulers = endpoints.map {
        EndpointScheduler(it, POOL, Incarnation("$it.1"), ENDPOINT_LIMITS, schedulerSettings)
    }

    private fun now() = eventLoop.clockMilliseconds

    private fun hasDelivered(requestId: RequestId) = (trackedRequests[requestId]?.generatedTokens ?: 0) > 0

    override fun start(endMilliseconds: Double) {
        entryIncarnations.indices.forEach { entry ->
            endpoints.forEach { endpoint ->
                val effects = dispatchers[entry].onEndpointConnected(
                    endpoint,
                    POOL,
                    Incarnation("$endpoint.1"),
                    true,
                    now(),
                )
                applyEntryEffects(entry, effects)
            }
        }
        eventLoop.scheduleEvery(ENTRY_TICK_PERIOD_MILLISECONDS, endMilliseconds) {
            entryIncarnations.indices.forEach { applyEntryEffects(it, dispatchers[it].onTick(now())) }
        }
        eventLoop.scheduleEvery(SIDECAR_TICK_PERIOD_MILLISECONDS, endMilliseconds) {
            schedulers.indices.forEach { applyEndpointEffects(it, schedulers[it].onTick(now())) }
        }
        eventLoop.scheduleEvery(DIGEST_PERIOD_MILLISECONDS, endMilliseconds) { sendDigests() }
    }

    private fun sendDigests() = schedulers.forEachIndexed { engine, scheduler ->
        val digest = scheduler.digest()
        entryIncarnations.indices.forEach { entry ->
            eventLoop.scheduleAfter(DIGEST_DELAY_MILLISECONDS) { deliverToEntry(entry, engine, digest) }
        }
    }

    override fun onArrival(request: BenchRequest) {
        val entry = random.nextInt(ENTRY_COUNT)
        val requestId = RequestId(entryIncarnations[entry], ++requestSequences[entry])
        trackedRequests[requestId] = TrackedRequest(request, entry)
        applyEntryEffects(entry, dispatchers[entry].onSubmit(specification(requestId, request, entry), now()))
    }

    private fun specification(requestId: RequestId, request: BenchRequest, entry: Int): RequestSpecification {
        val output = lengthEstimators[entry].estimate(request.route, request.account, request.maximumTokens)
        val group = request.prefixGroup
        return RequestSpecification(
            requestId = requestId,
            pool = POOL,
            route = request.route,
            account = request.account,
            share = 1,
            rank = request.rank,
            dispatch = DispatchRule.RESUMABLE,
            needsClaim = false,
            cost = costModel.cost(PoolKind.MODEL, request.promptTokens, output),
            promptCost = costModel.promptTokenCost * request.promptTokens,
            tokens = request.promptTokens.toLong() + request.maximumTokens,
            prefixBlocks = if (group == null) emptyList() else listOf(group.toLong()),
            deadlineMilliseconds = request.deadlineMilliseconds.toLong(),
        )
    }

    private fun applyEntryEffects(entry: Int, effects: List<DispatchEffect>): Unit =
        effects.forEach { applyEntryEffect(entry, it) }

    private fun applyEntryEffect(entry: Int, effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Send -> sendToEndpoint(entry, effect.endpoint, effect.message)
            is DispatchEffect.SendGrant -> {
                val remaining = effect.remainingMilliseconds
                val grant = Grant(effect.requestId, effect.sidecar, effect.attempt, remaining, EMPTY_CALL)
                sendToEndpoint(entry, effect.endpoint, grant)
            }
            is DispatchEffect.Conclude -> conclude(effect)
            else -> Unit
        }
    }

    private fun conclude(effect: DispatchEffect.Conclude) {
        if (effect.outcome != Outcome.Answered) {
            trackedRequests.getValue(effect.requestId).request.shedMilliseconds = eventLoop.nowMilliseconds
        }
    }

    private fun sendToEndpoint(entry: Int, endpoint: EndpointId, message: Message) {
        val engine = endpoints.indexOf(endpoint)
        eventLoop.scheduleAfter(MESSAGE_LATENCY_MILLISECONDS) {
            val effects = schedulers[engine].onMessage(entryIncarnations[entry], message as RequestMessage, now())
            applyEndpointEffects(engine, effects)
        }
    }

    private fun deliverToEntry(entry: Int, engine: Int, message: Message) =
        applyEntryEffects(entry, dispatchers[entry].onMessage(endpoints[engine], message, now()))

    private fun applyEndpointEffects(engine: Int, effects: List<EndpointEffect>): Unit =
        effects.forEach { applyEndpointEffect(engine, it) }

    private fun applyEndpointEffect(engine: Int, effect: EndpointEffect) {
        when (effect) {
            is EndpointEffect.Send -> {
                val entry = entryIncarnations.indexOf(effect.entry)
                eventLoop.scheduleAfter(MESSAGE_LATENCY_MILLISECONDS) { deliverToEntry(entry, engine, effect.message) }
            }
            is EndpointEffect.Broadcast -> entryIncarnations.indices.forEach { entry ->
                eventLoop.scheduleAfter(MESSAGE_LATENCY_MILLISECONDS) { deliverToEntry(entry, engine, effect.message) }
            }
            is EndpointEffect.Execute -> execute(engine, effect.grant)
            is EndpointEffect.Stop -> stop(effect.requestId)
            else -> Unit
        }
    }

    private fun execute(engine: Int, grant: Grant) {
        val current = trackedRequests.getValue(grant.requestId)
        if (grant.attempt > 1) current.request.repeatedPrefillTokens += current.request.promptTokens
        executions[current.request] = Execution(grant.requestId, grant.attempt, engine)
        engines[engine].submit(current.request, current.generatedTokens)
    }

    private fun stop(requestId: RequestId) {
        val current = trackedRequests.getValue(requestId)
        val stopped = executions.remove(current.request) ?: return
        engines[stopped.engine].cancel(current.request)
        val failed = AnswerFailed(requestId, stopped.attempt, FailureReason.PREEMPTED)
        eventLoop.scheduleAfter(MESSAGE_LATENCY_MILLISECONDS) { deliverToEntry(current.entry, stopped.engine, failed) }
        reportExecutionEnd(stopped)
    }

    private fun reportExecutionEnd(execution: Execution) {
        val effects = schedulers[execution.engine].onExecutionEnded(execution.requestId, wasDispatched = true, now())
        applyEndpointEffects(execution.engine, effects)
    }

    override fun onLeave(index: Int) = applyEndpointEffects(index, schedulers[index].onShutdown())

    private companion object {
        const val POOL = "pool"
        const val ENTRY_COUNT = 4

        /** Delay of each message between an entry instance and a sidecar, except digests. */
        const val MESSAGE_LATENCY_MILLISECONDS = 1.0
        const val ENTRY_TICK_PERIOD_MILLISECONDS = 10.0
        const val SIDECAR_TICK_PERIOD_MILLISECONDS = 20.0
        const val DIGEST_PERIOD_MILLISECONDS = 200.0

        /** Age of a digest when it arrives at the entry instances. */
        const val DIGEST_DELAY_MILLISECONDS = 2000.0
        val ENDPOINT_LIMITS = EndpointLimits(maximumConcurrent = 24, maximumTokens = 150_000, maximumPrefills = 4)

        /** Placeholder in grants; the simulated engine reads only the request itself. */
        val EMPTY_CALL = EndpointCall("POST", "/", "", "", ByteArray(0))
    }
}
