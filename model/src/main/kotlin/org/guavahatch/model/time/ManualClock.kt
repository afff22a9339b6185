package org.guavahatch.model.time

/** A clock that moves only when told to, for simulations and tests. Both of its readings are equal. */
public class ManualClock(private var currentMilliseconds: Long = 0) : Clock {
    override fun monotonicMilliseconds(): Long = currentMilliseconds

    override fun wallMilliseconds(): Long = currentMilliseconds

    /** Moves the clock forward by [milliseconds], which must not be negative. */
    public fun advance(milliseconds: Long) {
        require(milliseconds >= 0) { "A clock cannot go back by ${-milliseconds} ms." }
        currentMilliseconds += milliseconds
    }
}
