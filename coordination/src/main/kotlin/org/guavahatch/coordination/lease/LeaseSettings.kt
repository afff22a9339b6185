package org.guavahatch.coordination.lease

/**
 * Settings of a [FencedLease].
 *
 * @property durationMilliseconds how long a lease is valid after it was taken or renewed, default 5000
 * @property pauseBoundMilliseconds how long after its end an old holder may still act: the longest pause of a process
 * and the difference of clocks, default 3000
 */
public data class LeaseSettings(
    public val durationMilliseconds: Long = 5000,
    public val pauseBoundMilliseconds: Long = 3000,
)
