package org.guavahatch.model.finding

import org.guavahatch.model.check.Problem

/** How serious a [Finding] is. */
public enum class Severity {
    /** The configuration is accepted, but an entry has no effect or works against another one. */
    WARNING,

    /** The configuration must not be sent. */
    ERROR,
}

/**
 * A result of the check of a configuration before it is sent.
 *
 * @property path location of the entry, in the form `$.routes[0].prefix`
 * @property value text of the value that the finding is about
 * @property message complete sentence that states the consequence and what is expected
 * @property severity whether the configuration may be sent
 */
public sealed interface Finding {
    public val path: String
    public val value: String
    public val message: String
    public val severity: Severity
}

/** An entry that is not valid by itself: syntax, type, range, name or reference. */
public data class InvalidEntry(private val problem: Problem) : Finding {
    override val path: String get() = problem.path
    override val value: String get() = problem.value
    override val message: String get() = problem.message
    override val severity: Severity get() = Severity.ERROR
}

/** A route that no request can reach, because [covering] has the same host and prefix and takes precedence. */
public data class CoveredRoute(override val path: String, override val value: String, public val covering: String) :
    Finding {
    override val message: String get() = "No request reaches the route: '$covering' has the same host and prefix."
    override val severity: Severity get() = Severity.ERROR
}

/** A route whose prefix cannot begin a path up to a slash, so that no request matches it. */
public data class UnmatchedPrefix(override val path: String, override val value: String) : Finding {
    override val message: String get() = "No request matches the prefix. It must begin and end with a slash."
    override val severity: Severity get() = Severity.ERROR
}

/** A route all of whose target pools have weight 0, or that has none. */
public data class RouteWithoutTarget(override val path: String, override val value: String) : Finding {
    override val message: String get() = "The route has no pool with a weight above 0, so every request is rejected."
    override val severity: Severity get() = Severity.ERROR
}

/** A target pool of a route that gets no requests because its weight is 0 or less. */
public data class TargetWithoutWeight(override val path: String, override val value: String) : Finding {
    override val message: String get() = "The pool gets no requests of the route. Weights above 0 send requests."
    override val severity: Severity get() = Severity.WARNING
}

/** An account that no caller can use because it has no keys. */
public data class AccountWithoutKeys(override val path: String, override val value: String) : Finding {
    override val message: String get() = "No caller can use the account, because it has no keys."
    override val severity: Severity get() = Severity.WARNING
}

/** A key of an account that another account, [owner], holds too; requests count for only one of them. */
public data class SharedKey(override val path: String, override val value: String, public val owner: String) :
    Finding {
    override val message: String get() = "The account '$owner' has the same key. Requests count for only one of them."
    override val severity: Severity get() = Severity.ERROR
}

/** A tier that no account may use and that is no route's default. */
public data class UnusedTier(override val path: String, override val value: String) : Finding {
    override val message: String get() = "No account may use the tier, and no route has it as its default."
    override val severity: Severity get() = Severity.WARNING
}

/** A drain that has no effect, because it has expired or repeats another one. */
public data class DrainWithoutEffect(
    override val path: String,
    override val value: String,
    public val reason: String,
) : Finding {
    override val message: String get() = "The drain has no effect: $reason."
    override val severity: Severity get() = Severity.WARNING
}

/** A timeout that ends requests before they miss their latency objective. */
public data class TimeoutBelowObjective(
    override val path: String,
    override val value: String,
    public val objectiveMilliseconds: Long,
) : Finding {
    override val message: String
        get() = "The timeout is shorter than the latency objective of $objectiveMilliseconds ms, so answers that " +
            "meet the objective are cut off."
    override val severity: Severity get() = Severity.WARNING
}

/** A burst that does not hold the [units] of a single request, so that every such request is rejected. */
public data class BurstBelowRequest(override val path: String, override val value: String, public val units: Long) :
    Finding {
    override val message: String
        get() = "A single request counts $units units, more than the burst, so it is always rejected."
    override val severity: Severity get() = Severity.WARNING
}

/** Attempts that are never made, because the route's requests run at most once. */
public data class AttemptsWithoutEffect(override val path: String, override val value: String) : Finding {
    override val message: String
        get() = "Requests of the route run at most once, so only attempts that were rejected unrun are repeated."
    override val severity: Severity get() = Severity.WARNING
}

/** More attempts than the retry budget of [retriesPerRequest] allows when many requests fail. */
public data class AttemptsBeyondBudget(
    override val path: String,
    override val value: String,
    public val retriesPerRequest: Double,
) : Finding {
    override val message: String
        get() = "The retry budget allows $retriesPerRequest retries for each request, so in a failure of the pool " +
            "most of these attempts are not made."
    override val severity: Severity get() = Severity.WARNING
}

/** A limit that is above another one, [limit], which therefore takes effect first. */
public data class LimitWithoutEffect(override val path: String, override val value: String, public val limit: String) :
    Finding {
    override val message: String get() = "The limit never takes effect, because $limit."
    override val severity: Severity get() = Severity.WARNING
}
