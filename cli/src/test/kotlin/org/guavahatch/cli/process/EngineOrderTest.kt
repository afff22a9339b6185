package org.guavahatch.cli.process

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.standins.launch.LocalHttp
import org.guavahatch.standins.launch.RunningEndpoint
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Orders to engines under a paused old sidecar, on an engine that checks fencing numbers and on one that does not. */
class EngineOrderTest {
    @Serializable
    private data class Order(val fencingNumber: Long, val setting: String, val value: String)

    @Serializable
    private data class State(val values: Map<String, String>, val applied: List<Order>)

    private var running: FrostFleece? = null

    @AfterTest
    fun stop() {
        running?.close()
    }

    private fun state(endpoint: RunningEndpoint): State =
        Json.decodeFromString(LocalHttp.get("${endpoint.endpointUrl}/orders").body())

    private fun FrostFleece.publishModel(model: String, checksFencing: Boolean) {
        val settings = """"kind": "model", "checksFencing": $checksFencing,
            "engineSettings": [{ "name": "model", "value": "$model" }],"""
        val text = Files.readString(FrostFleece.CONFIGURATION).replace("\"kind\": \"model\",", settings)
        val file = Files.createTempFile("configuration", ".jsonc")
        Files.writeString(file, text)
        val published = deployment.publish(file)
        Files.delete(file)
        assertEquals(0, published.exitCode, published.output)
    }

    @Test
    fun `the engine ends with what the new sidecar ordered`() {
        listOf(true, false).forEach { checksFencing ->
            val extra = if (checksFencing) emptyList() else listOf("--ignore-fencing")
            val frostFleece = FrostFleece { engines("model-desk", 1.0, extra = extra) }
            running = frostFleece
            val endpoint = frostFleece.deployment.pool("model-desk").last()
            frostFleece.publishModel("v1", checksFencing)
            assertTrue(awaitTrue(10_000) { state(endpoint).values["model"] == "v1" }, "${state(endpoint)}")
            val old = frostFleece.deployment.replaceSidecar(endpoint) { it.freeze() }
            frostFleece.publishModel("v2", checksFencing)
            assertTrue(awaitTrue(20_000) { state(endpoint).values["model"] == "v2" }, "${state(endpoint)}")
            old.thaw()
            Thread.sleep(4000)
            val after = state(endpoint)
            println("checks fencing $checksFencing: ${after.applied}")
            assertEquals("v2", after.values["model"], "$after")
            val numbers = after.applied.map { it.fencingNumber }
            if (checksFencing) assertEquals(numbers.sorted(), numbers, "an old number was taken: $after")
            old.kill()
            frostFleece.close()
        }
    }
}
