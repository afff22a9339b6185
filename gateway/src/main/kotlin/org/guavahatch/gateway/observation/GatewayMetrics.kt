package org.guavahatch.gateway.observation

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.guavahatch.gateway.endpoint.UnexpectedBytes
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Counters and latency histograms of a gateway. */
class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val ended = HashMap<String, Counter>()
    private val sends = HashMap<String, Counter>()
    private val sendsByZone = HashMap<String, Counter>()
    private val lost = HashMap<String, Counter>()
    private val skipped = HashMap<String, Counter>()
    private val unexpectedBytes = HashMap<UnexpectedBytes.Place, Counter>()
    private val slowCallers = HashMap<String, Counter>()
    private val storeCalls = HashMap<String, Counter>()
    private val timers = HashMap<String, Timer>()

    /** Answers and phases of rollouts. */
    val rollouts: RolloutMetrics = RolloutMetrics(registry)

    /** Counters by client account and route. */
    val accounts: AccountMetrics = AccountMetrics(registry)

    /** Returns the current values in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Counts a request that ended with [outcome]. */
    fun countEnded(outcome: String) = ended.getOrPut(outcome) {
        Counter.builder("guavahatch.gateway.requests").tag("outcome", outcome).register(registry)
    }.increment()

    /** Counts a send to an endpoint of [pool]; [kind] is first, retry or resume. */
    fun countSend(pool: String, kind: String) = sends.getOrPut("$pool $kind") {
        Counter.builder("guavahatch.gateway.sends").tag("pool", pool).tag("kind", kind).register(registry)
    }.increment()

    /** Counts a send to an endpoint of [pool], in the zone of the gateway or in another one. */
    fun countZone(pool: String, hasLeftZone: Boolean) = sendsByZone.getOrPut("$pool $hasLeftZone") {
        Counter.builder("guavahatch.gateway.sends.zone")
            .tag("pool", pool)
            .tag("left", hasLeftZone.toString())
            .register(registry)
    }.increment()

    /** Counts a request that was lost because the process of its endpoint in [pool] has ended. */
    fun countLost(pool: String) = lost.getOrPut(pool) {
        Counter.builder("guavahatch.gateway.requests.lost").tag("pool", pool).register(registry)
    }.increment()

    /** Counts a response of an endpoint of [pool] that was skipped, as it belongs to no request under way. */
    fun countSkipped(pool: String) = skipped.getOrPut(pool) {
        Counter.builder("guavahatch.gateway.responses.skipped").tag("pool", pool).register(registry)
    }.increment()

    /** Counts a connection to an endpoint on which bytes of no response were found in [place]. */
    fun countUnexpectedBytes(place: UnexpectedBytes.Place) = unexpectedBytes.getOrPut(place) {
        Counter.builder("guavahatch.gateway.unexpected.bytes").tag("found", place.text).register(registry)
    }.increment()

    /** Counts a caller that reads too slowly for the room that is left; [outcome] is held-back or disconnected. */
    fun countSlowCaller(outcome: String) = slowCallers.getOrPut(outcome) {
        Counter.builder("guavahatch.gateway.callers.slow").tag("outcome", outcome).register(registry)
    }.increment()

    /** Counts a call for changes of [table] of the store; [source] is store, or reader if a peer was asked. */
    fun countStoreCall(table: String, source: String) = storeCalls.getOrPut("$table $source") {
        Counter.builder("guavahatch.gateway.store.calls").tag("table", table).tag("source", source).register(registry)
    }.increment()

    /** Records the duration of [step] (queue, first-event, total) of a request of [rank]. */
    fun recordDuration(step: String, rank: Int, milliseconds: Long) = timers.getOrPut("$step $rank") {
        Timer.builder("guavahatch.gateway.duration")
            .tag("step", step)
            .tag("rank", rank.toString())
            .serviceLevelObjectives(*DURATION_BUCKETS)
            .register(registry)
    }.record(milliseconds, TimeUnit.MILLISECONDS)

    /** Registers a gauge whose value is read at each scrape. */
    fun gauge(name: String, read: () -> Double) {
        registry.gauge("guavahatch.gateway.$name", Unit) { read() }
    }

    private companion object {
        val DURATION_BUCKETS: Array<Duration> =
            longArrayOf(10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800).map(
                Duration::ofMillis,
            ).toTypedArray()
    }
}
