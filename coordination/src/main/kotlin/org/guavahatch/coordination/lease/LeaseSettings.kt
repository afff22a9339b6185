package org.guavahatch.coordination.lease

/**
 * Settings of a [FencedLease].
 *
 * @property durationMilliseconds how long a lease is valid after it was acquired or renewed, default 5000
 * @property takeoverMarginMilliseconds how long an old holder may still act after the lease has expired, default
 * 3000; covers the longest pause of a process and the clock skew between machines
 */
public data class LeaseSettings(
    public val durationMilliseconds: Long = 5000,
    public val takeoverMarginMilliseconds: Long = 3000,
)
