package org.guavahatch.cli.process

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import org.guavahatch.standins.launch.LocalHttp
import org.guavahatch.standins.launch.RunningEndpoint
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** An endpoint that leaves gets no new work after three seconds, whoever says that it leaves. */
class LeavingEndpointTest {
    private val frostFleece = FrostFleece()
    private val deployment = frostFleece.deployment
    private val leaving = deployment.pool("order-app")[0]
    private val staying = deployment.pool("order-app")[1]

    @AfterTest
    fun stop() = frostFleece.close()

    private fun served(endpoint: RunningEndpoint): Int =
        Json.parseToJsonElement(LocalHttp.get("${endpoint.endpointUrl}/records").body()).jsonArray.size

    private fun order(prefix: String) = repeat(ORDERS) {
        assertEquals("answered", frostFleece.placeOrder("$prefix-$it", it % 2).header("guavahatch-outcome"))
    }

    @Test
    fun `an operator's drain takes effect and ends`() {
        order("before")
        assertTrue(served(leaving) > 0 && served(staying) > 0, "both endpoints serve at first")
        val arguments = arrayOf("order-app", leaving.name, "--platform", frostFleece.platform.url)
        assertEquals(0, deployment.operate("drain", *arguments, "--reason", "test").exitCode)
        Thread.sleep(LEFT_AFTER_MS)
        val before = served(leaving)
        order("drained")
        assertEquals(before, served(leaving), "the drained endpoint was given work")
        assertEquals(0, deployment.operate("undrain", *arguments).exitCode)
        Thread.sleep(LEFT_AFTER_MS)
        order("after")
        assertTrue(served(leaving) > before, "the endpoint serves again")
    }

    @Test
    fun `a sidecar that is asked to stop takes no work from then on`() {
        order("before")
        leaving.sidecar.terminate()
        assertTrue(leaving.sidecar.awaitEnd(10_000))
        val before = served(leaving)
        order("stopped")
        assertEquals(before, served(leaving))
    }

    private companion object {
        const val LEFT_AFTER_MS = 3000L
        const val ORDERS = 30
    }
}
