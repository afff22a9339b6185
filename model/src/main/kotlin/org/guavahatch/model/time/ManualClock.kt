package org.guavahatch.model.time

/**
 * A clock that changes only when [advance] is called, for simulations and tests. Monotonic and wall-clock time are
 * equal.
 */
public class ManualClock(private var currentMilliseconds: Long = 0) : Clock {
    override fun monotonicMilliseconds(): Long = currentMilliseconds

    override fun wallMilliseconds(): Long = currentMilliseconds

    /** Advances the clock by [milliseconds], which must not be negative. */
    public fun advance(milliseconds: Long) {
        require(milliseconds >= 0) { "Cannot advance the clock by a negative duration: $milliseconds ms." }
        currentMilliseconds += milliseconds
    }
}
