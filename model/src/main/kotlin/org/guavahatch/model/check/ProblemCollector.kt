package org.guavahatch.model.check

/** Collects the problems of a document so that all of them are reported together. */
public class ProblemCollector {
    private val collected = mutableListOf<Problem>()

    /** The problems collected so far, in the order in which they were added. */
    public val problems: List<Problem> get() = collected.toList()

    /** Adds a problem with [message] at [path] if [condition] is false. */
    public fun require(condition: Boolean, path: String, value: Any?, message: () -> String) {
        if (!condition) collected += Problem(path, value.toString(), message())
    }

    /** Adds a problem if [value] is outside [allowed]. The message gives the limits, followed by [unit]. */
    public fun requireRange(path: String, value: Long, allowed: LongRange, unit: String) {
        require(value in allowed, path, value) { "Must be ${allowed.first} to ${allowed.last} $unit." }
    }
}
