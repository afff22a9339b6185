package org.guavahatch.cli.process

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Rolling restart under load: stops every sidecar and entry instance in turn with SIGTERM and starts a replacement. */
class PlannedStopTest {
    private val frostFleece = FrostFleece()

    @AfterTest
    fun stop() = frostFleece.close()

    @Test
    fun `a rolling restart interrupts no request and drops none`() {
        val deployment = frostFleece.deployment
        frostFleece.startLoad("warm-up").get()
        val loads = listOf(frostFleece.startLoad("rolling"))
        Thread.sleep(1500)
        deployment.endpoints.forEach { endpoint ->
            endpoint.sidecar.terminate()
            assertTrue(endpoint.sidecar.awaitExit(30_000), "${endpoint.name} did not stop")
            deployment.startSidecar(endpoint)
            deployment.awaitReady()
        }
        deployment.entries.forEach { entry ->
            entry.process.terminate()
            assertTrue(entry.process.awaitExit(30_000), "${entry.name} did not stop")
            deployment.startEntry(entry)
            deployment.awaitReady()
        }
        loads.forEach { load ->
            val result = load.get()
            val total = result.total
            println("rolling: $total ${result.reasons}")
            assertEquals(emptyList(), result.wrong)
            assertEquals(0, total.unknown, "unknown: ${result.reasons}")
            assertEquals(0, total.notRun, "not run: ${result.reasons}")
            assertEquals(total.sent, total.answered)
        }
    }
}
