package org.guavahatch.scheduling.direct

/**
 * Decides whether pauses between the events of a stream stay within the objective of its caller.
 *
 * An engine prefills between the decoding steps of its streams, so long prompts make these streams pause.
 */
internal object PauseObjective {
    /** Time reserved for a request between its send and its first event. */
    const val FIRST_EVENT_MILLISECONDS = 400L

    /** Share of the longest pause that a prefill may take; the rest is for the decoding steps of the streams. */
    private const val PREFILL_PAUSE_SHARE = 0.6

    /** Share of the longest pause that measured pauses may take; the rest is for the few that are longer. */
    private const val MEASURED_PAUSE_SHARE = 0.75

    /** Whether prefilling [request] at [endpoint] keeps the pauses of the streams there within their objective. */
    fun keepsPauses(request: WaitingRequest, endpoint: EndpointState, speeds: RelativeSpeeds, now: Long): Boolean {
        val longestPauseMilliseconds = request.longestPauseMilliseconds ?: return true
        val firstEventMilliseconds = maxOf(FIRST_EVENT_MILLISECONDS, request.firstEventMilliseconds)
        if (now >= request.objectiveEndsAt - firstEventMilliseconds) return true
        val prefillTokens = endpoint.prefillTokens + request.promptTokens
        val prefillMilliseconds = prefillTokens * speeds.millisecondsPerToken(endpoint)
        if (prefillMilliseconds <= longestPauseMilliseconds * PREFILL_PAUSE_SHARE) return true
        if (endpoint.pauseWhilePrefillingMilliseconds != null && isMet(request, endpoint)) return true
        // A prompt that exceeds the objective at every endpoint goes to a fast one that prefills nothing else.
        return endpoint.prefillTokens == 0L && speeds.isFast(endpoint)
    }

    /** Whether the pauses measured at [endpoint] are well within the longest one of [request]; true without any. */
    fun isMet(request: WaitingRequest, endpoint: EndpointState): Boolean {
        val longestPauseMilliseconds = request.longestPauseMilliseconds ?: return true
        val measuredPause = endpoint.pauseWhilePrefillingMilliseconds ?: return true
        return measuredPause <= longestPauseMilliseconds * MEASURED_PAUSE_SHARE
    }

    /**
     * Whether [request] probably misses its longest pause at [endpoint]: measured pauses exceed it, and the endpoint
     * prefills other prompts now. The latter lets requests return when the load has gone, since the measurement is only
     * renewed by requests that are sent there.
     */
    fun isMissed(request: WaitingRequest, endpoint: EndpointState): Boolean {
        val longestPauseMilliseconds = request.longestPauseMilliseconds ?: return false
        val measuredPause = endpoint.pauseWhilePrefillingMilliseconds ?: return false
        return endpoint.prefillTokens > 0 && measuredPause > longestPauseMilliseconds
    }

    /** Whether [request] has to wait for one of [endpoints], all with a slot for it, until prompts are prefilled. */
    fun isHeldBack(request: WaitingRequest, endpoints: Collection<EndpointState>, now: Long): Boolean {
        val speeds = RelativeSpeeds(endpoints)
        return endpoints.isNotEmpty() && endpoints.none { keepsPauses(request, it, speeds, now) }
    }
}
