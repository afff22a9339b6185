package org.guavahatch.scheduling.direct

/** A stream at a [SimulatedEngine], and what its caller sees of it; times are virtual milliseconds. */
internal class SimulatedStream(val request: WaitingRequest, val outputTokens: Int) {
    var unreadTokens = request.promptTokens
    var sentAt = 0L
    var tokensAhead = 0L
    var lastEventAt = 0L
    var longestPause = 0L
    var firstEventAfter: Long? = null
    var endedAt: Long? = null
    var events = 0
    private var tokens = 0

    val isComplete: Boolean get() = tokens >= outputTokens

    /** Adds a token; true if it completes an event. */
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
 * An engine that makes one token for each stream in a step and prefills up to [CHUNK_TOKENS] prompt tokens beside them,
 * in the order of arrival. Callers leave at the deadlines of their requests.
 *
 * @property state what a gateway learns of the engine
 * @property slowness multiple of the usual time of a step
 */
internal class SimulatedEngine(val state: EndpointState, private val slowness: Double) {
    private val running = ArrayList<SimulatedStream>()
    private var stepEndsAt = 0.0
    private var chunk = 0L

    fun accept(stream: SimulatedStream, now: Long) {
        state.noteSent(stream.unreadTokens)
        stream.sentAt = now
        stream.tokensAhead = state.prefillTokens
        running += stream
    }

    fun proceed(now: Long) {
        if (now < stepEndsAt || running.isEmpty()) return
        finishStep(now)
        loseCallers(now)
        chunk = minOf(CHUNK_TOKENS, running.sumOf { it.unreadTokens })
        stepEndsAt = now + slowness * (STEP_MILLISECONDS + chunk / PROMPT_TOKENS_PER_MILLISECOND)
    }

    private fun loseCallers(now: Long) = running.filter { it.request.deadline <= now }.forEach {
        running.remove(it)
        state.noteEnded(if (it.events == 0) it.request.promptTokens else 0)
    }

    private fun finishStep(now: Long) {
        val decoding = running.filter { it.unreadTokens == 0L }
        var left = chunk
        running.forEach { stream ->
            val read = minOf(left, stream.unreadTokens)
            stream.unreadTokens -= read
            left -= read
        }
        decoding.filter { it.addToken() }.forEach { noteEvent(it, now) }
        decoding.filter { it.isComplete }.forEach {
            running.remove(it)
            it.endedAt = now
            state.noteEnded(0)
            it.request.estimatedTokens?.let { estimate -> state.noteLength(estimate, it.events) }
        }
    }

    private fun noteEvent(stream: SimulatedStream, now: Long) {
        if (stream.firstEventAfter == null) {
            stream.firstEventAfter = now - stream.request.arrivedAt
            state.notePrefilled(stream.request.promptTokens)
            state.noteFirstEvent(stream.tokensAhead, now - stream.sentAt)
        } else {
            stream.longestPause = maxOf(stream.longestPause, now - stream.lastEventAt)
            state.notePace((now - stream.lastEventAt).toDouble())
        }
        stream.lastEventAt = now
    }

    private companion object {
        const val CHUNK_TOKENS = 2_048L
        const val STEP_MILLISECONDS = 6.3
        const val PROMPT_TOKENS_PER_MILLISECOND = 39.3
    }
}
