package org.guavahatch.cli.soak

import org.guavahatch.platform.standin.Deployment
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Injects random faults into gateways that run as separate processes, and checks the invariants on what callers and
 * endpoints observe.
 *
 * `-Dsoak.seeds=FIRST-LAST` selects the seeds and `-Dsoak.milliseconds=DURATION` the time per seed during which faults
 * are injected. Logs are kept under `target/soak`.
 */
class GatewaySoakTest {
    private val seeds = System.getProperty("soak.seeds")?.split('-')?.map { it.toInt() }?.let { it.first()..it.last() }
        ?: (DEFAULT_SEEDS + REGRESSION_SEEDS.keys)
    private val faultMilliseconds = System.getProperty("soak.milliseconds", "8000").toLong()

    @Test
    fun `callers and endpoints observe no violated invariant`() {
        val failures = seeds.flatMap { seed -> run(seed).map { "seed $seed: $it" } }
        assertTrue(failures.isEmpty(), failures.joinToString("\n"))
    }

    private fun run(seed: Int): List<String> = Deployment().use { deployment ->
        val folder = Files.createDirectories(Path.of("target", "soak", "seed-$seed"))
        deployment.configure(1, listOf("key-0"), SoakGateway.ROUTES)
        val endpoints = SoakEndpoints(seed)
        repeat(ENDPOINTS) { index -> deployment.endpoint("i-$index") { endpoints.serve(this) } }
        val gateways = List(GATEWAYS) { SoakGateway(deployment, "gateway-$it", folder) }
        val callers = SoakCallers(gateways.map { it.settings.callers }, seed)
        val faults = SoakFaults(deployment, gateways, endpoints, callers, Random(seed))
        try {
            check(awaitAllServing(callers, gateways, "before-$seed")) { "The gateways do not serve requests." }
            callers.start()
            endpoints.isStuttering = true
            faults.injectFor(faultMilliseconds)
            endpoints.isStuttering = false
            val isRecovered = awaitAllServing(callers, gateways, "after-$seed")
            callers.stop()
            val violations = SoakInvariants(endpoints, faults.revokedAtMilliseconds).violations(callers.calls.toList())
            val statusCounts = callers.calls.groupingBy { it.status }.eachCount()
            println(
                "soak seed $seed: $statusCounts; ${endpoints.copies} late copies; ${faults.history.joinToString(", ")}",
            )
            val states = gateways.joinToString { it.state }
            val unrecovered = "a gateway does not serve requests $RECOVERY_MILLISECONDS ms after the faults ($states)"
            violations + if (isRecovered) emptyList() else listOf(unrecovered)
        } finally {
            callers.stop()
            gateways.forEach { it.close() }
        }
    }

    /** Waits until all gateways answer requests, and returns whether they do within [RECOVERY_MILLISECONDS]. */
    private fun awaitAllServing(callers: SoakCallers, gateways: List<SoakGateway>, id: String): Boolean {
        val deadline = SoakEndpoints.now() + RECOVERY_MILLISECONDS
        var number = 0
        while (SoakEndpoints.now() < deadline) {
            val calls = gateways.map { callers.call("$id-${number++}", "read", it.settings.callers) }
            if (calls.all { it.status == SoakCallers.OK }) return true
            Thread.sleep(RETRY_MILLISECONDS)
        }
        return false
    }

    private companion object {
        val DEFAULT_SEEDS = listOf(1, 2)

        /** Seeds that failed before, with the cause. */
        val REGRESSION_SEEDS = mapOf(
            14 to "SIGHUP ended a virtual machine that had not installed its handler yet, and it was not restarted",
            44 to "same cause as seed 14",
        )

        const val GATEWAYS = 3
        const val ENDPOINTS = 3

        /** Bound on the recovery time of a deployment after the last fault. */
        const val RECOVERY_MILLISECONDS = 12_000L
        const val RETRY_MILLISECONDS = 100L
    }
}
