package org.guavahatch.gateway.caller

import io.netty.channel.EventLoop
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.GatewayMetrics
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.unread.UnreadAnswers
import java.util.concurrent.TimeUnit

/**
 * Checks which callers have not read their answers, regularly and when their bytes pass the bound, and disconnects
 * those that [UnreadAnswers] gives up. All calls must come on the event loop's thread.
 *
 * @property loop event loop of all connections
 */
class UnreadMonitor(
    private val loop: EventLoop,
    clock: Clock,
    private val maximumBytes: Long,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    internal val answers = UnreadAnswers<UnreadOutput>(clock, maximumBytes)
    private val logged = HashSet<UnreadOutput>()

    /** Bytes that all callers have not read. */
    val unreadBytes: Long get() = answers.totalBytes

    /** Starts the regular checks. */
    fun start() {
        loop.scheduleWithFixedDelay(::check, CHECK_MILLISECONDS, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /**
     * Checks at once if the bytes have exceeded the budget too far. In the same turn of the event loop the answers of
     * many other callers may be written, so a check at the next turn would come too late.
     */
    internal fun onWritten() {
        if (answers.isExceeded) check()
    }

    /** Whether the answer of [output] may be read on. */
    internal fun mayReadOn(output: UnreadOutput): Boolean {
        if (answers.isHeldBack(output) && logged.add(output)) write(output, HELD_BACK)
        return answers.mayReadOn(output)
    }

    private fun check() {
        answers.callers.forEach { it.refresh() }
        logged.retainAll { answers.heldBytes(it) > 0 }
        answers.callersToGiveUp().forEach {
            write(it, DISCONNECTED)
            it.giveUp()
        }
    }

    private fun write(output: UnreadOutput, outcome: String) {
        metrics.countSlowCaller(outcome)
        log.write("caller.slow") {
            put("request", output.requestId)
            put("outcome", outcome)
            put("bytes", answers.heldBytes(output))
            put("milliseconds", output.millisecondsWithoutRead() ?: 0)
            put("unread-bytes", answers.totalBytes)
            put("maximum-bytes", maximumBytes)
        }
    }

    private companion object {
        /** A tenth of the time after which an answer is read on. */
        const val CHECK_MILLISECONDS = 100L
        const val HELD_BACK = "held-back"
        const val DISCONNECTED = "disconnected"
    }
}
