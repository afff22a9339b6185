package org.guavahatch.scheduling.dispatch

/**
 * Settings of a [RequestDispatcher].
 *
 * @property initialOffers endpoints that a request is offered to at first, default 2
 * @property widenMilliseconds how long a request waits before it is offered to all endpoints of its pool, default 20;
 * at once if less than ten times that is left to its deadline
 * @property reofferMilliseconds how long a request waits before it is offered again after a refusal, default 40
 * @property reattachMilliseconds how long a granted stream waits for a lost sidecar before another one continues it,
 * default 2000
 * @property settleMilliseconds how long after its deadline a claimed request is still followed, so that its outcome can
 * be recorded, default 60 000
 * @property maximumHeld requests that are held at once, default 20 000
 * @property retryAfterMilliseconds what a caller is told whose request was not run, default 1000
 */
public data class DispatcherSettings(
    public val initialOffers: Int = 2,
    public val widenMilliseconds: Long = 20,
    public val reofferMilliseconds: Long = 40,
    public val reattachMilliseconds: Long = 2000,
    public val settleMilliseconds: Long = 60_000,
    public val maximumHeld: Int = 20_000,
    public val retryAfterMilliseconds: Long = 1000,
)
