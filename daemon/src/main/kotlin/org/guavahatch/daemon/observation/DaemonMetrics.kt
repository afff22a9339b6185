package org.guavahatch.daemon.observation

import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit

/** Counters and timers of a process. Names and labels are listed in the operators' pages. */
internal class DaemonMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** The present values in the text format of Prometheus. */
    fun scrape(): String = registry.scrape()

    /** Counts one event. */
    fun count(counter: DaemonCounter, vararg labels: String) {
        registry.counter(counter.metric, Tags.of(*counter.labelled(labels))).increment()
    }

    /** Registers a value that is read when metrics are fetched. */
    fun gauge(name: String, read: () -> Double) {
        registry.gauge(name, Unit) { read() }
    }

    /** Notes how long a request took from its acceptance to its end. */
    fun requestDuration(route: String, tier: String, milliseconds: Long) {
        Timer.builder("guavahatch.request.duration")
            .tags("route", route, "tier", tier)
            .publishPercentileHistogram()
            .register(registry)
            .record(milliseconds, TimeUnit.MILLISECONDS)
    }
}

/**
 * A counter with its labels.
 *
 * @property metric name of the metric
 * @property labels names of the labels, in the order in which values are given
 */
internal enum class DaemonCounter(val metric: String, private vararg val labels: String) {
    /** Requests of callers that have ended. */
    REQUESTS("guavahatch.requests", "route", "tier", "outcome", "reason"),

    /** Requests that were refused before they were accepted. */
    REFUSED_REQUESTS("guavahatch.requests.refused", "error"),

    /** Connections between processes that came up. */
    CONNECTIONS("guavahatch.connections.opened", "role"),

    /** Connections between processes that ended, by cause. */
    CONNECTIONS_ENDED("guavahatch.connections.ended", "cause"),

    /** Frames that were dropped because they belong to an old connection, attempt or request. */
    FRAMES_DROPPED("guavahatch.frames.dropped", "cause"),

    /** Grants that were sent. */
    GRANTS("guavahatch.grants", "kind"),

    /** Calls to the endpoint that have ended. */
    CALLS("guavahatch.endpoint.calls", "result"),

    /** Configurations that were applied. */
    CONFIGURATIONS("guavahatch.configurations.applied", "source"),

    /** Failed calls to the platform. */
    PLATFORM_ERRORS("guavahatch.platform.errors", "step"),

    /** Orders to the engine, by result. */
    ENGINE_ORDERS("guavahatch.engine.orders", "result"),

    /** Claims of idempotency keys, by result. */
    CLAIMS("guavahatch.claims", "result"),
    ;

    /** Names and values of the labels, alternating. */
    fun labelled(values: Array<out String>): Array<String> {
        require(values.size == labels.size) { "The counter $metric has the labels ${labels.toList()}." }
        return labels.indices.flatMap { listOf(labels[it], values[it]) }.toTypedArray()
    }
}
