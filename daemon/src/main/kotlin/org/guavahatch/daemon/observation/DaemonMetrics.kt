package org.guavahatch.daemon.observation

import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit

/** Metrics of a process. Their names and labels are documented for operators in `docs/operations`. */
internal class DaemonMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Returns the current values in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Increments [counter] for the given values of its labels. */
    fun count(counter: DaemonCounter, vararg labelValues: String) {
        registry.counter(counter.metric, Tags.of(*counter.tags(labelValues))).increment()
    }

    /** Registers a gauge whose value is read at each scrape. */
    fun gauge(name: String, read: () -> Double) {
        registry.gauge(name, Unit) { read() }
    }

    /** Records the duration of a request from its acceptance to its end. */
    fun recordRequestDuration(route: String, tier: String, milliseconds: Long) {
        Timer.builder("guavahatch.request.duration")
            .tags("route", route, "tier", tier)
            .publishPercentileHistogram()
            .register(registry)
            .record(milliseconds, TimeUnit.MILLISECONDS)
    }
}

/**
 * A counter and its labels.
 *
 * @property metric name of the metric
 * @property labels names of the labels, in the order of the values passed to [DaemonMetrics.count]
 */
internal enum class DaemonCounter(val metric: String, private vararg val labels: String) {
    /** Accepted requests that have ended. */
    REQUESTS("guavahatch.requests", "route", "tier", "outcome", "reason"),

    /** Requests that were refused before they were accepted. */
    REFUSED_REQUESTS("guavahatch.requests.refused", "error"),

    /** Connections between processes that were established. */
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

    /** Returns the names and values of the labels, alternating. */
    fun tags(labelValues: Array<out String>): Array<String> {
        require(labelValues.size == labels.size) {
            "The counter $metric needs a value for each of the labels ${labels.toList()}."
        }
        return labels.indices.flatMap { listOf(labels[it], labelValues[it]) }.toTypedArray()
    }
}
