package org.guavahatch.gateway.observation

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/**
 * Counters of requests by client account and route.
 *
 * The first [MAXIMUM_ACCOUNTS] accounts and [MAXIMUM_ROUTES] routes have labels of their own; the rest counts as
 * [OTHER], which bounds the number of time series. Requests whose account or route is unknown count as [NONE].
 */
class AccountMetrics internal constructor(private val registry: MeterRegistry) {
    private val counters = HashMap<Labels, AccountCounters>()
    private val accounts = BoundedLabels(MAXIMUM_ACCOUNTS)
    private val routes = BoundedLabels(MAXIMUM_ROUTES)

    /** The counters of [account] and [route]; null stands for an unknown one. */
    fun of(account: String?, route: String?): AccountCounters {
        val labels = Labels(accounts.labelOf(account), routes.labelOf(route))
        return counters.getOrPut(labels) { AccountCounters { name -> counter(name, labels) } }
    }

    private fun counter(name: String, labels: Labels): Counter = Counter.builder("guavahatch.gateway.account.$name")
        .tag("account", labels.account)
        .tag("route", labels.route)
        .register(registry)

    private data class Labels(val account: String, val route: String)

    private class BoundedLabels(private val limit: Int) {
        private val known = HashSet<String>()

        fun labelOf(name: String?): String = when {
            name == null -> NONE
            name in known || known.size < limit -> name.also(known::add)
            else -> OTHER
        }
    }

    companion object {
        /** Largest number of accounts with a label of their own. */
        const val MAXIMUM_ACCOUNTS = 64

        /** Largest number of routes with a label of their own. */
        const val MAXIMUM_ROUTES = 16

        /** Label of the accounts and routes beyond the limits. */
        const val OTHER = "other"

        /** Label of a request without an account or route. */
        const val NONE = "none"
    }
}

/** Counters of one client account on one route. */
class AccountCounters internal constructor(counter: (name: String) -> Counter) {
    private val asked = counter("asked")
    private val answered = counter("answered")
    private val refused = counter("refused")
    private val late = counter("late")
    private val waited = counter("waited.milliseconds")

    /** Counts a request that was received. */
    fun countAsked() = asked.increment()

    /** Counts a request that was answered completely by an endpoint. */
    fun countAnswered() = answered.increment()

    /** Counts a request that was not run. */
    fun countRefused() = refused.increment()

    /** Counts a response whose first event came after the latency objective. */
    fun countLate() = late.increment()

    /** Adds the [milliseconds] from the arrival of a request to its first send, or to its end if it was never sent. */
    fun addWaited(milliseconds: Long) = waited.increment(milliseconds.toDouble())
}
