package org.guavahatch.scheduling.direct

/** A stream at a [SimulatedEngine] and what its caller observes; times are virtual milliseconds. */
internal class SimulatedStream(val request: WaitingRequest, val outputTokens: Int) {
    var unprefilledTokens = request.promptTokens
    var sentAt = 0L
    var tokensToPrefill = 0L
    var lastEventAt = 0L
    var longestPause = 0L
    var firstEventAfter: Long? = null
    var endedAt: Long? = null
    var events = 0
    private var tokens = 0

    val isComplete: Boolean get() = tokens >= outputTokens

    /** Adds a token; returns true if it completes an event. */
    fun addToken(): Boolean {
        val isEvent = ++tokens % TOKENS_PER_EVENT == 0 || isComplete
        if (isEvent) events++
        return isEvent
    }

    companion object {
        const val TOKENS_PER_EVENT = 3
    }
}

/**
 * Simulates an engine that decodes one token of each stream per step and prefills up to [CHUNK_TOKENS] prompt tokens in
 * the same step, in the order of arrival. Callers disconnect at the deadlines of their requests.
 *
 * @property state state of the engine as its gateway estimates it
 * @property slowness factor on the normal duration of a step
 */
internal class SimulatedEngine(val state: EndpointState, private val slowness: Double) {
    private val running = ArrayList<SimulatedStream>()
    private var stepEndsAt = 0.0
    private var prefillChunk = 0L

    fun accept(stream: SimulatedStream, now: Long) {
        state.recordSent(stream.unprefilledTokens)
        stream.sentAt = now
        stream.tokensToPrefill = state.prefillTokens
        running += stream
    }

    fun advanceTo(now: Long) {
        if (now < stepEndsAt || running.isEmpty()) return
        finishStep(now)
        removeExpired(now)
        prefillChunk = minOf(CHUNK_TOKENS, running.sumOf { it.unprefilledTokens })
        stepEndsAt = now + slowness * (STEP_MILLISECONDS + prefillChunk / PROMPT_TOKENS_PER_MILLISECOND)
    }

    private fun removeExpired(now: Long) = running.filter { it.request.deadline <= now }.forEach {
        running.remove(it)
        state.recordEnded(if (it.events == 0) it.request.promptTokens else 0)
    }

    private fun finishStep(now: Long) {
        val decoding = running.filter { it.unprefilledTokens == 0L }
        var remaining = prefillChunk
        running.forEach { stream ->
            val prefilled = minOf(remaining, stream.unprefilledTokens)
            stream.unprefilledTokens -= prefilled
            remaining -= prefilled
        }
        decoding.filter { it.addToken() }.forEach { recordEvent(it, now) }
        decoding.filter { it.isComplete }.forEach {
            running.remove(it)
            it.endedAt = now
            state.recordEnded(0)
            it.request.estimatedTokens?.let { estimate -> state.recordLength(estimate, it.events) }
        }
    }

    private fun recordEvent(stream: SimulatedStream, now: Long) {
        if (stream.firstEventAfter == null) {
            stream.firstEventAfter = now - stream.request.arrivedAt
            state.recordPrefilled(stream.request.promptTokens)
            state.recordFirstEvent(stream.tokensToPrefill, now - stream.sentAt)
        } else {
            stream.longestPause = maxOf(stream.longestPause, now - stream.lastEventAt)
            state.recordPace((now - stream.lastEventAt).toDouble())
        }
        stream.lastEventAt = now
    }

    private companion object {
        const val CHUNK_TOKENS = 2_048L
        const val STEP_MILLISECONDS = 6.3
        const val PROMPT_TOKENS_PER_MILLISECOND = 39.3
    }
}
