package org.guavahatch.cli.process

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import org.guavahatch.standins.launch.LocalHttp
import org.guavahatch.standins.launch.RunningEndpoint
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** An endpoint that is drained by an operator or whose sidecar stops gets no new requests after three seconds. */
class LeavingEndpointTest {
    private val frostFleece = FrostFleece()
    private val deployment = frostFleece.deployment
    private val leaving = deployment.endpointsOf("order-app")[0]
    private val staying = deployment.endpointsOf("order-app")[1]

    @AfterTest
    fun stop() = frostFleece.close()

    private fun servedRequests(endpoint: RunningEndpoint): Int =
        Json.parseToJsonElement(LocalHttp.get("${endpoint.endpointUrl}/records").body()).jsonArray.size

    private fun placeOrders(prefix: String) = repeat(ORDERS) {
        assertEquals("answered", frostFleece.placeOrder("$prefix-$it", it % 2).header("guavahatch-outcome"))
    }

    @Test
    fun `a drained endpoint gets no orders until the drain is lifted`() {
        placeOrders("before")
        assertTrue(servedRequests(leaving) > 0 && servedRequests(staying) > 0, "an endpoint got no orders")
        val arguments = arrayOf("order-app", leaving.name, "--platform", frostFleece.platform.url)
        assertEquals(0, deployment.runOperatorCommand("drain", *arguments, "--reason", "test").exitCode)
        Thread.sleep(DRAIN_EFFECT_MILLISECONDS)
        val servedBefore = servedRequests(leaving)
        placeOrders("drained")
        assertEquals(servedBefore, servedRequests(leaving), "the drained endpoint got orders")
        assertEquals(0, deployment.runOperatorCommand("undrain", *arguments).exitCode)
        Thread.sleep(DRAIN_EFFECT_MILLISECONDS)
        placeOrders("after")
        assertTrue(servedRequests(leaving) > servedBefore, "the endpoint gets no orders after the drain was lifted")
    }

    @Test
    fun `a sidecar that was asked to stop accepts no more orders`() {
        placeOrders("before")
        leaving.sidecar.terminate()
        assertTrue(leaving.sidecar.awaitExit(10_000))
        val servedBefore = servedRequests(leaving)
        placeOrders("stopped")
        assertEquals(servedBefore, servedRequests(leaving))
    }

    private companion object {
        const val DRAIN_EFFECT_MILLISECONDS = 3000L
        const val ORDERS = 30
    }
}
