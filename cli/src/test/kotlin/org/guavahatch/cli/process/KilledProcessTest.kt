package org.guavahatch.cli.process

import org.guavahatch.standins.launch.Deployment
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Kills or freezes one process of each kind under load. Callers may get any of the three outcomes, and each outcome
 * must agree with what was executed.
 */
class KilledProcessTest {
    private val frostFleece = FrostFleece()

    private class Fault(val name: String, val inject: (Deployment) -> Unit, val repair: (Deployment) -> Unit)

    private val faults = listOf(
        Fault("killed-sidecar-of-engine", { it.endpoints[0].sidecar.kill() }, { it.startSidecar(it.endpoints[0]) }),
        Fault(
            "killed-sidecar-of-application",
            { it.endpoints[2].sidecar.kill() },
            { it.startSidecar(it.endpoints[2]) },
        ),
        Fault("killed-engine", { it.endpoints[1].endpoint.kill() }, { it.startEndpoint(it.endpoints[1]) }),
        Fault("killed-application", { it.endpoints[2].endpoint.kill() }, { it.startEndpoint(it.endpoints[2]) }),
        Fault("killed-entry", { it.entries[0].process.kill() }, { it.startEntry(it.entries[0]) }),
        Fault(
            "frozen-sidecar-of-application",
            { it.endpoints[3].sidecar.suspendProcess() },
            { it.endpoints[3].sidecar.resumeProcess() },
        ),
        Fault(
            "frozen-sidecar-of-engine",
            { it.endpoints[1].sidecar.suspendProcess() },
            { it.endpoints[1].sidecar.resumeProcess() },
        ),
        Fault("frozen-entry", { it.entries[1].process.suspendProcess() }, { it.entries[1].process.resumeProcess() }),
    )

    @AfterTest
    fun stop() = frostFleece.close()

    @Test
    fun `reported outcomes are correct whichever process is killed or frozen`() {
        faults.forEach { fault ->
            val load = frostFleece.startLoad(fault.name)
            Thread.sleep(FAULT_DELAY_MILLISECONDS)
            fault.inject(frostFleece.deployment)
            Thread.sleep(REPAIR_DELAY_MILLISECONDS)
            fault.repair(frostFleece.deployment)
            val result = load.get()
            val total = result.total
            println("${fault.name}: $total ${result.reasons}")
            assertEquals(emptyList(), result.wrong, fault.name)
            assertEquals(total.sent, total.answered + total.notRun + total.unknown + total.refused, fault.name)
            assertTrue(total.answered > total.sent / 2, "${fault.name}: $total ${result.reasons}")
            frostFleece.deployment.awaitReady()
        }
    }

    private companion object {
        const val FAULT_DELAY_MILLISECONDS = 3500L
        const val REPAIR_DELAY_MILLISECONDS = 1500L
    }
}
