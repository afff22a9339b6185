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
import org.guavahatch.daemon.transport.InnerConnection
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.time.Clock
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.scheduling.endpoint.EndpointEffect
import org.guavahatch.scheduling.endpoint.StopReason
import java.util.concurrent.ConcurrentHashMap

/** Tells the scheduler how the calls of the endpoint go. */
internal interface ExecutionListener {
    fun onProgress(requestId: RequestId, tokens: Int)

    fun onEnded(requestId: RequestId, wasDispatched: Boolean)
}

/** The calls that go on at the endpoint, with their answers until they are acknowledged. */
internal class Executions(
    private val caller: EndpointCaller,
    private val clock: Clock,
    private val windowBytes: Int,
    private val metrics: DaemonMetrics,
    private val scope: CoroutineScope,
    private val listener: ExecutionListener,
) {
    private class HeldAnswer(val attempt: Int, val log: AnswerLog) {
        @Volatile
        var stopReason: StopReason? = null

        @Volatile
        var job: Job? = null
    }

    private val answers = ConcurrentHashMap<RequestId, HeldAnswer>()

    /** Answers that are held. */
    val held: Int get() = answers.size

    /** Begins the call of [effect]; its answer goes to [connection]. */
    fun start(effect: EndpointEffect.Execute, connection: InnerConnection?) {
        val grant = effect.grant
        val execution = HeldAnswer(grant.attempt, AnswerLog(grant, connection, windowBytes))
        answers[grant.requestId] = execution
        execution.job = scope.launch { run(effect, execution) }
    }

    private suspend fun run(effect: EndpointEffect.Execute, execution: HeldAnswer) {
        val requestId = effect.grant.requestId
        val callId = "$requestId-${effect.grant.attempt}"
        var end: CallEnd = CallEnd.Failed(FailureReason.CANCELLED)
        try {
            val remaining = effect.deadlineMilliseconds - clock.monotonicMilliseconds() + DEADLINE_GRACE_MILLISECONDS
            end = withTimeoutOrNull(remaining) { caller.call(effect.grant.call, callId, sink(requestId, execution)) }
                ?: CallEnd.Failed(FailureReason.TIMEOUT)
        } finally {
            withContext(NonCancellable) { finish(requestId, execution, end) }
        }
    }

    private fun sink(requestId: RequestId, execution: HeldAnswer) = object : AnswerSink {
        override suspend fun head(status: Int, contentType: String) = execution.log.head(status, contentType)

        override suspend fun body(bytes: ByteArray, tokens: Int) {
            execution.log.awaitRoom()
            execution.log.body(bytes, tokens)
            if (tokens > 0) listener.onProgress(requestId, tokens)
        }
    }

    private fun finish(requestId: RequestId, execution: HeldAnswer, end: CallEnd) {
        when (end) {
            is CallEnd.Whole -> execution.log.whole(end.promptTokens)
            is CallEnd.Failed -> execution.log.failed(reasonOf(execution, end))
            CallEnd.NotSent -> answers.remove(requestId, execution)
        }
        metrics.count(DaemonCounter.CALLS, resultOf(end))
        listener.onEnded(requestId, wasDispatched = end != CallEnd.NotSent)
        scope.launch {
            delay(KEEP_MILLISECONDS)
            answers.remove(requestId, execution)
        }
    }

    private fun reasonOf(execution: HeldAnswer, end: CallEnd.Failed): FailureReason = when (execution.stopReason) {
        StopReason.PREEMPTED -> FailureReason.PREEMPTED
        StopReason.CANCELLED -> FailureReason.CANCELLED
        null -> end.reason
    }

    private fun resultOf(end: CallEnd): String = when (end) {
        is CallEnd.Whole -> "whole"
        is CallEnd.Failed -> end.reason.name.lowercase()
        CallEnd.NotSent -> "not-sent"
    }

    /** Stops the call of [requestId]. */
    fun stop(requestId: RequestId, reason: StopReason) {
        val execution = answers[requestId] ?: return
        execution.stopReason = reason
        execution.job?.cancel()
    }

    /** Sends the rest of an answer on [connection]; false if it is not held any more. */
    fun replay(effect: EndpointEffect.Replay, connection: InnerConnection): Boolean {
        val execution = answers[effect.requestId]?.takeIf { it.attempt == effect.attempt } ?: return false
        execution.log.attach(connection, effect.offset, effect.hasHead)
        return true
    }

    /** Drops what the entry instance has of an answer. */
    fun acknowledge(requestId: RequestId, attempt: Int, offset: Long) {
        answers[requestId]?.takeIf { it.attempt == attempt }?.log?.acknowledge(offset)
    }

    /** Drops the answer to [requestId] altogether. */
    fun release(requestId: RequestId) {
        answers.remove(requestId)
    }

    private companion object {
        const val DEADLINE_GRACE_MILLISECONDS = 100L
        const val KEEP_MILLISECONDS = 30_000L
    }
}
