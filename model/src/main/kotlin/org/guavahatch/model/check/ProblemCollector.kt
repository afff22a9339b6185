package org.guavahatch.model.check

/** Collects the problems of a document, so that all are reported at once. */
public class ProblemCollector {
    private val collected = mutableListOf<Problem>()

    /** What has been collected so far, in order. */
    public val problems: List<Problem> get() = collected.toList()

    /** Adds a problem with [message] at [path] unless [condition] holds. */
    public fun require(condition: Boolean, path: String, value: Any?, message: () -> String) {
        if (!condition) collected += Problem(path, value.toString(), message())
    }

    /** Adds a problem unless [value] lies in [allowed]; [unit] follows the numbers in the message. */
    public fun requireRange(path: String, value: Long, allowed: LongRange, unit: String) {
        require(value in allowed, path, value) { "Allowed are ${allowed.first} to ${allowed.last} $unit." }
    }
}
