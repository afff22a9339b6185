package org.guavahatch.daemon.sidecar

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.daemon.transport.PeerConnection
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.time.Clock
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.scheduling.endpoint.EndpointEffect
import org.guavahatch.scheduling.endpoint.StopReason
import java.util.concurrent.ConcurrentHashMap

/** Receives the progress and the end of calls to the endpoint. */
internal interface ExecutionListener {
    fun onProgress(requestId: RequestId, tokens: Int)

    fun onEnded(requestId: RequestId, wasDispatched: Boolean)
}

/** Runs the calls to the endpoint and keeps their answers until they are acknowledged. */
internal class Executions(
    private val caller: EndpointCaller,
    private val clock: Clock,
    private val windowBytes: Int,
    private val metrics: DaemonMetrics,
    private val scope: CoroutineScope,
    private val listener: ExecutionListener,
) {
    private class Execution(val attempt: Int, val replayBuffer: AnswerReplayBuffer) {
        @Volatile
        var stopReason: StopReason? = null

        @Volatile
        var job: Job? = null
    }

    private val byRequestId = ConcurrentHashMap<RequestId, Execution>()

    /** Number of calls that are running or whose answers are kept. */
    val count: Int get() = byRequestId.size

    /** Starts the call of [effect] and sends its answer on [connection]. */
    fun start(effect: EndpointEffect.Execute, connection: PeerConnection?) {
        val grant = effect.grant
        val execution = Execution(grant.attempt, AnswerReplayBuffer(grant, connection, windowBytes))
        byRequestId[grant.requestId] = execution
        execution.job = scope.launch { run(effect, execution) }
    }

    private suspend fun run(effect: EndpointEffect.Execute, execution: Execution) {
        val requestId = effect.grant.requestId
        val callId = "$requestId-${effect.grant.attempt}"
        var result: CallResult = CallResult.Failed(FailureReason.CANCELLED)
        try {
            val remaining = effect.deadlineMilliseconds - clock.monotonicMilliseconds() + DEADLINE_GRACE_MILLISECONDS
            result = withTimeoutOrNull(remaining) { caller.call(effect.grant.call, callId, sink(requestId, execution)) }
                ?: CallResult.Failed(FailureReason.TIMEOUT)
        } finally {
            withContext(NonCancellable) { finish(requestId, execution, result) }
        }
    }

    private fun sink(requestId: RequestId, execution: Execution) = object : AnswerSink {
        override suspend fun onHead(status: Int, contentType: String) =
            execution.replayBuffer.start(status, contentType)

        override suspend fun onBody(bytes: ByteArray, tokens: Int) {
            execution.replayBuffer.awaitCapacity()
            execution.replayBuffer.append(bytes, tokens)
            if (tokens > 0) listener.onProgress(requestId, tokens)
        }
    }

    private fun finish(requestId: RequestId, execution: Execution, result: CallResult) {
        when (result) {
            is CallResult.Complete -> execution.replayBuffer.complete(result.promptTokens)
            is CallResult.Failed -> execution.replayBuffer.fail(failureReason(execution, result))
            CallResult.NotSent -> byRequestId.remove(requestId, execution)
        }
        metrics.count(DaemonCounter.CALLS, metricLabel(result))
        listener.onEnded(requestId, wasDispatched = result != CallResult.NotSent)
        scope.launch {
            delay(RETENTION_MILLISECONDS)
            byRequestId.remove(requestId, execution)
        }
    }

    private fun failureReason(execution: Execution, result: CallResult.Failed): FailureReason =
        when (execution.stopReason) {
            StopReason.PREEMPTED -> FailureReason.PREEMPTED
            StopReason.CANCELLED -> FailureReason.CANCELLED
            null -> result.reason
        }

    private fun metricLabel(result: CallResult): String = when (result) {
        is CallResult.Complete -> "whole"
        is CallResult.Failed -> result.reason.name.lowercase()
        CallResult.NotSent -> "not-sent"
    }

    /** Cancels the call of [requestId]. */
    fun stop(requestId: RequestId, reason: StopReason) {
        val execution = byRequestId[requestId] ?: return
        execution.stopReason = reason
        execution.job?.cancel()
    }

    /** Sends the rest of an answer on [connection]. Returns false if the answer is no longer kept. */
    fun replay(effect: EndpointEffect.Replay, connection: PeerConnection): Boolean {
        val execution = byRequestId[effect.requestId]?.takeIf { it.attempt == effect.attempt } ?: return false
        execution.replayBuffer.attach(connection, effect.offset, effect.hasHead)
        return true
    }

    /** Drops the part of an answer up to [offset], which the entry instance has received. */
    fun acknowledge(requestId: RequestId, attempt: Int, offset: Long) {
        byRequestId[requestId]?.takeIf { it.attempt == attempt }?.replayBuffer?.acknowledge(offset)
    }

    /** Drops the answer to [requestId]. */
    fun release(requestId: RequestId) {
        byRequestId.remove(requestId)
    }

    private companion object {
        /** Time after the deadline until a call is cancelled. */
        const val DEADLINE_GRACE_MILLISECONDS = 100L

        /** Time for which the answer of a call is kept after its end. */
        const val RETENTION_MILLISECONDS = 30_000L
    }
}
