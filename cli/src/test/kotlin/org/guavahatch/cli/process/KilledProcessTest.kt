package org.guavahatch.cli.process

import org.guavahatch.standins.launch.Deployment
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Kills or freezes one process of each kind under load. Callers may be told three outcomes, and none may be wrong. */
class KilledProcessTest {
    private val frostFleece = FrostFleece()

    private class Case(val name: String, val strike: (Deployment) -> Unit, val mend: (Deployment) -> Unit)

    private val cases = listOf(
        Case("killed-sidecar-of-engine", { it.endpoints[0].sidecar.kill() }, { it.startSidecar(it.endpoints[0]) }),
        Case("killed-sidecar-of-application", { it.endpoints[2].sidecar.kill() }, { it.startSidecar(it.endpoints[2]) }),
        Case("killed-engine", { it.endpoints[1].endpoint.kill() }, { it.startEndpoint(it.endpoints[1]) }),
        Case("killed-application", { it.endpoints[2].endpoint.kill() }, { it.startEndpoint(it.endpoints[2]) }),
        Case("killed-entry", { it.entries[0].process.kill() }, { it.startEntry(it.entries[0]) }),
        Case("frozen-sidecar-of-application", { it.endpoints[3].sidecar.freeze() }, { it.endpoints[3].sidecar.thaw() }),
        Case("frozen-sidecar-of-engine", { it.endpoints[1].sidecar.freeze() }, { it.endpoints[1].sidecar.thaw() }),
        Case("frozen-entry", { it.entries[1].process.freeze() }, { it.entries[1].process.thaw() }),
    )

    @AfterTest
    fun stop() = frostFleece.close()

    @Test
    fun `no answer is wrong whichever process is killed or frozen`() {
        cases.forEach { case ->
            val load = frostFleece.load(case.name)
            Thread.sleep(STRIKE_AFTER_MS)
            case.strike(frostFleece.deployment)
            Thread.sleep(MEND_AFTER_MS)
            case.mend(frostFleece.deployment)
            val result = load.get()
            val total = result.total
            println("${case.name}: $total ${result.reasons}")
            assertEquals(emptyList(), result.wrong, case.name)
            assertEquals(total.sent, total.answered + total.notRun + total.unknown + total.refused, case.name)
            assertTrue(total.answered > total.sent / 2, "${case.name}: $total ${result.reasons}")
            frostFleece.deployment.awaitReady()
        }
    }

    private companion object {
        const val STRIKE_AFTER_MS = 3500L
        const val MEND_AFTER_MS = 1500L
    }
}
