package org.guavahatch.cli.soak

import org.guavahatch.gateway.settings.RolloutSettings
import org.guavahatch.platform.standin.Deployment
import org.junit.jupiter.api.Tag
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Orders rollouts while gateways that run as separate processes are killed, frozen and cut off and the store fails, and
 * checks what endpoints and the store observe. Each seed orders two versions, one after the other; the bits of the seed
 * tell which of them are bad.
 *
 * `-Dsoak.rollouts=FIRST-LAST` selects the seeds. Logs are kept under `target/soak`.
 */
class RolloutSoakTest {
    private val seeds =
        System.getProperty("soak.rollouts")?.split('-')?.map { it.toInt() }?.let { it.first()..it.last() } ?: 1..2

    @Test
    @Tag("known-red")
    fun `faults neither let a bad version through nor lead requests to endpoints that were replaced`() {
        val failures = seeds.flatMap { seed -> run(seed).map { "seed $seed: $it" } }
        assertTrue(failures.isEmpty(), failures.joinToString("\n"))
    }

    private fun run(seed: Int): List<String> =
        Deployment(rollouts = RolloutSettings(SHARE, SLACK, ROLLBACK_MILLISECONDS)).use { deployment ->
            val folder = Files.createDirectories(Path.of("target", "soak", "rollout-$seed"))
            deployment.configure(1, listOf("key-0"), SoakGateway.ROUTES)
            val endpoints = SoakEndpoints(seed)
            val sends = VERSIONS.associateWith { ConcurrentLinkedQueue<Long>() }
            fun startEndpoints(version: String, isBad: Boolean) = repeat(ENDPOINTS) { index ->
                deployment.endpoint("$version-$index", version = version) {
                    sends.getValue(version) += SoakEndpoints.now()
                    endpoints.serve(this, isFailing = isBad)
                }
            }
            repeat(ENDPOINTS) { index ->
                deployment.endpoint("${VERSIONS.first()}-$index") {
                    sends.getValue(VERSIONS.first()) += SoakEndpoints.now()
                    endpoints.serve(this)
                }
            }
            val gateways = List(GATEWAYS) { SoakGateway(deployment, "gateway-$it", folder) }
            val callers = SoakCallers(gateways.map { it.settings.callers }, seed)
            val faults = RolloutSoakFaults(deployment, gateways, Random(seed))
            try {
                val isReady = Deployment.until {
                    gateways.all { callers.call("ready", "read", it.settings.callers).status == READY }
                }
                check(isReady) { "The gateways do not serve requests." }
                callers.start()
                val outcomes = VERSIONS.drop(1).mapIndexed { index, version ->
                    val isBad = seed shr index and 1 == 1
                    val orderedAt = SoakEndpoints.now()
                    deployment.order(version, DURATION_SECONDS)
                    startEndpoints(version, isBad)
                    val endedAt = EndWatch(deployment, version)
                    faults.injectFor(FAULT_MILLISECONDS)
                    endedAt.awaitUntil(orderedAt + DURATION_MILLISECONDS + WRITE_MILLISECONDS)
                    faults.restartOne()
                    Thread.sleep(AFTER_MILLISECONDS)
                    // The platform stops the endpoints of a version that was replaced.
                    val isCompleted = stateOf(deployment, version) == "completed"
                    if (isCompleted) VERSIONS.take(index + 1).forEach { removeEndpoints(deployment, it) }
                    Outcome(version, isBad, stateOf(deployment, version), orderedAt, endedAt.milliseconds)
                }
                callers.stop()
                val states = outcomes.joinToString { "${it.version} ${it.describe(sends)}" }
                println("rollout soak seed $seed: $states; ${faults.history.joinToString(", ")}")
                outcomes.flatMap { it.violations(sends) } +
                    SoakInvariants(endpoints, emptyMap()).violations(callers.calls.toList())
            } finally {
                callers.stop()
                gateways.forEach { it.close() }
            }
        }

    private fun removeEndpoints(deployment: Deployment, version: String) =
        repeat(ENDPOINTS) { deployment.store.put("servers", "$version-$it", null) }

    /** What endpoints and the store observed of the rollout of a bad or a good [version]. */
    private class Outcome(
        val version: String,
        private val isBad: Boolean,
        private val state: String?,
        private val orderedAt: Long,
        private val endedAt: Long?,
    ) {
        fun violations(sends: Map<String, Collection<Long>>): List<String> {
            val end = endedAt ?: Long.MAX_VALUE
            val (target, total) = exposure(sends)
            return listOfNotNull(
                "the end of $version was not written within its time limit".takeIf { endedAt == null },
                "the state of $version is $state".takeIf { state != if (isBad) "rolled_back" else "completed" },
                "$target of $total sends to the bad $version".takeIf { isBad && target > SHARE * total + SLACK },
                "late sends to the bad $version".takeIf {
                    isBad && sends.getValue(version).any { it - HEARD_MILLISECONDS > end }
                },
                "sends to endpoints that $version replaced".takeIf {
                    !isBad && earlierVersions().any { earlier -> sends.getValue(earlier).any { it > end } }
                },
            )
        }

        private fun earlierVersions() = VERSIONS.takeWhile { it != version }

        /** Sends to the version, and to the pool, until the time limit of the order. */
        private fun exposure(sends: Map<String, Collection<Long>>): Pair<Int, Int> {
            val counts = sends.mapValues { (_, times) ->
                times.count { it in orderedAt..orderedAt + DURATION_MILLISECONDS }
            }
            return counts.getValue(version) to counts.values.sum()
        }

        fun describe(sends: Map<String, Collection<Long>>) = exposure(sends).let { (target, total) ->
            "${if (isBad) "bad" else "good"} $state after ${endedAt?.minus(orderedAt)} ms, $target of $total sends"
        }
    }

    /** Observes when the store holds the end of the rollout of [version]. */
    private class EndWatch(private val deployment: Deployment, private val version: String) {
        @Volatile
        var milliseconds: Long? = null
            private set

        private val watcher = kotlin.concurrent.thread(isDaemon = true) {
            while (milliseconds == null && !Thread.currentThread().isInterrupted) {
                if (stateOf(deployment, version) in ENDS) milliseconds = SoakEndpoints.now()
                runCatching { Thread.sleep(1) }.onFailure { Thread.currentThread().interrupt() }
            }
        }

        fun awaitUntil(deadline: Long) {
            watcher.join(maxOf(1, deadline - SoakEndpoints.now()))
            watcher.interrupt()
        }
    }

    private companion object {
        /** State of the rollout to [version] in the store, or null if the state is of another order. */
        fun stateOf(deployment: Deployment, version: String): String? = deployment.rolloutState()
            .takeIf { deployment.store.value("status", "rollout/app").orEmpty().contains("\"$version\"") }

        /** The version that runs first, and those that are ordered after it. */
        val VERSIONS = listOf("v1", "v2", "v3")
        const val READY = 200
        val ENDS = setOf("completed", "rolled_back")
        const val GATEWAYS = 3
        const val ENDPOINTS = 3
        const val SHARE = 0.1
        const val SLACK = 50
        const val ROLLBACK_MILLISECONDS = 5_000L
        const val DURATION_SECONDS = 14.0
        const val DURATION_MILLISECONDS = 14_000L

        /** Faults end so early that the gateways hear each other again before the verdict. */
        const val FAULT_MILLISECONDS = 7_000L

        /** Time after the time limit within which the end is written. */
        const val WRITE_MILLISECONDS = 1_000L
        const val AFTER_MILLISECONDS = 1_500L

        /** Time within which gateways hear of the end, and sends under way arrive. */
        const val HEARD_MILLISECONDS = 1_500L
    }
}
