package org.guavahatch.cli.soak

import org.guavahatch.gateway.settings.RolloutSettings
import org.guavahatch.platform.standin.Deployment
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Orders rollouts while gateways that run as separate processes are killed, frozen and cut off and the store fails, and
 * checks what endpoints and the store observe. Even seeds roll out a good version, odd ones a bad one.
 *
 * `-Dsoak.rollouts=FIRST-LAST` selects the seeds. Logs are kept under `target/soak`.
 */
class RolloutSoakTest {
    private val seeds =
        System.getProperty("soak.rollouts")?.split('-')?.map { it.toInt() }?.let { it.first()..it.last() } ?: 1..2

    @Test
    fun `faults neither let a bad version through nor lead requests to endpoints that were replaced`() {
        val failures = seeds.flatMap { seed -> run(seed).map { "seed $seed: $it" } }
        assertTrue(failures.isEmpty(), failures.joinToString("\n"))
    }

    private fun run(seed: Int): List<String> =
        Deployment(rollouts = RolloutSettings(SHARE, SLACK, ROLLBACK_MILLISECONDS)).use { deployment ->
            val folder = Files.createDirectories(Path.of("target", "soak", "rollout-$seed"))
            deployment.configure(1, listOf("key-0"), SoakGateway.ROUTES)
            val endpoints = SoakEndpoints(seed)
            val isBad = seed % 2 == 1
            val oldSends = ConcurrentLinkedQueue<Long>()
            val newSends = ConcurrentLinkedQueue<Long>()
            repeat(ENDPOINTS) { index ->
                deployment.endpoint("old-$index") {
                    oldSends += SoakEndpoints.now()
                    endpoints.serve(this)
                }
            }
            val gateways = List(GATEWAYS) { SoakGateway(deployment, "gateway-$it", folder) }
            val callers = SoakCallers(gateways.map { it.settings.callers }, seed)
            val faults = RolloutSoakFaults(deployment, gateways, Random(seed))
            try {
                val isReady = Deployment.until {
                    gateways.all {
                        callers.call("ready", "read", it.settings.callers).status ==
                            200
                    }
                }
                check(isReady) { "The gateways do not serve requests." }
                callers.start()
                val orderedAt = SoakEndpoints.now()
                deployment.order("v2", DURATION_SECONDS)
                repeat(ENDPOINTS) { index ->
                    deployment.endpoint("new-$index", version = "v2") {
                        newSends += SoakEndpoints.now()
                        endpoints.serve(this, isFailing = isBad)
                    }
                }
                val endedAt = EndWatch(deployment)
                faults.injectFor(FAULT_MILLISECONDS)
                endedAt.awaitUntil(orderedAt + DURATION_MILLISECONDS + WRITE_MILLISECONDS)
                Thread.sleep(AFTER_MILLISECONDS)
                callers.stop()
                val outcome = Outcome(isBad, deployment.rolloutState(), endedAt.milliseconds, oldSends, newSends)
                println("rollout soak seed $seed: $outcome; ${faults.history.joinToString(", ")}")
                outcome.violations() + SoakInvariants(endpoints, emptyMap()).violations(callers.calls.toList())
            } finally {
                callers.stop()
                gateways.forEach { it.close() }
            }
        }

    /** What endpoints and the store observed of the rollout of a bad or a good version. */
    private class Outcome(
        private val isBad: Boolean,
        private val state: String?,
        private val endedAt: Long?,
        private val oldSends: Collection<Long>,
        private val newSends: Collection<Long>,
    ) {
        private val total = oldSends.size + newSends.size

        fun violations(): List<String> {
            val end = endedAt ?: Long.MAX_VALUE
            val isExposed = newSends.size > SHARE * total + SLACK
            return listOfNotNull(
                "the state is $state".takeIf { state != if (isBad) "rolled_back" else "completed" },
                "${newSends.size} of $total sends to a bad version".takeIf { isBad && isExposed },
                "sends to an old endpoint after the end".takeIf { !isBad && oldSends.any { it > end } },
                "late sends to a bad version".takeIf { isBad && newSends.any { it - HEARD_MILLISECONDS > end } },
            )
        }

        override fun toString() = "$state, ${newSends.size} of $total sends to the new version"
    }

    /** Observes when the store holds the end of the rollout. */
    private class EndWatch(private val deployment: Deployment) {
        @Volatile
        var milliseconds: Long? = null
            private set

        private val watcher = kotlin.concurrent.thread(isDaemon = true) {
            while (milliseconds == null && !Thread.currentThread().isInterrupted) {
                if (deployment.rolloutState() in ENDS) milliseconds = SoakEndpoints.now()
                runCatching { Thread.sleep(1) }.onFailure { Thread.currentThread().interrupt() }
            }
        }

        fun awaitUntil(deadline: Long) {
            watcher.join(maxOf(1, deadline - SoakEndpoints.now()))
            watcher.interrupt()
        }
    }

    private companion object {
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
