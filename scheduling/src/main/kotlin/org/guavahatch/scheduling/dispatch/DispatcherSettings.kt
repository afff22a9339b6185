package org.guavahatch.scheduling.dispatch

/**
 * Settings of a [RequestDispatcher].
 *
 * @property initialOffers number of endpoints that a request is first offered to, default 2
 * @property offerToAllDelayMilliseconds how long a request waits before it is offered to all endpoints of its pool,
 * default 20; a request with less than ten times this delay left to its deadline is offered to all at once
 * @property reofferDelayMilliseconds how long a request waits after a refused offer before it is offered to all
 * endpoints again, default 40
 * @property reattachTimeoutMilliseconds how long a granted request waits for the sidecar to reconnect before another
 * endpoint may take it over, default 2000
 * @property outcomeTrackingMilliseconds how long a granted request is tracked after its deadline, so that the outcome
 * of a claimed one can still be recorded, default 60 000
 * @property maximumHeldRequests maximum number of requests tracked at once, default 20 000
 * @property retryAfterMilliseconds retry delay suggested to a caller whose request was not run, default 1000
 */
public data class DispatcherSettings(
    public val initialOffers: Int = 2,
    public val offerToAllDelayMilliseconds: Long = 20,
    public val reofferDelayMilliseconds: Long = 40,
    public val reattachTimeoutMilliseconds: Long = 2000,
    public val outcomeTrackingMilliseconds: Long = 60_000,
    public val maximumHeldRequests: Int = 20_000,
    public val retryAfterMilliseconds: Long = 1000,
)
