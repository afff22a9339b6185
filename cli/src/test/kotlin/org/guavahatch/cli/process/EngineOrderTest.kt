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

/**
 * A sidecar that is frozen, replaced and then resumed must not override the settings that its replacement ordered.
 * Covers an engine that checks fencing numbers and one that does not.
 */
class EngineOrderTest {
    @Serializable
    private data class Order(val fencingNumber: Long, val setting: String, val value: String)

    @Serializable
    private data class EngineState(val values: Map<String, String>, val applied: List<Order>)

    private var current: FrostFleece? = null

    @AfterTest
    fun stop() {
        current?.close()
    }

    private fun engineState(endpoint: RunningEndpoint): EngineState =
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
    fun `the engine keeps the model that the new sidecar ordered`() {
        listOf(true, false).forEach { checksFencing ->
            val options = if (checksFencing) emptyList() else listOf("--ignore-fencing")
            val frostFleece = FrostFleece { engines("model-desk", 1.0, extra = options) }
            current = frostFleece
            val endpoint = frostFleece.deployment.endpointsOf("model-desk").last()
            frostFleece.publishModel("v1", checksFencing)
            assertTrue(awaitTrue(10_000) { engineState(endpoint).values["model"] == "v1" }, "${engineState(endpoint)}")
            val oldSidecar = frostFleece.deployment.replaceSidecar(endpoint) { it.suspendProcess() }
            frostFleece.publishModel("v2", checksFencing)
            assertTrue(awaitTrue(20_000) { engineState(endpoint).values["model"] == "v2" }, "${engineState(endpoint)}")
            oldSidecar.resumeProcess()
            Thread.sleep(4000)
            val finalState = engineState(endpoint)
            println("checks fencing $checksFencing: ${finalState.applied}")
            assertEquals("v2", finalState.values["model"], "$finalState")
            val fencingNumbers = finalState.applied.map { it.fencingNumber }
            if (checksFencing) {
                assertEquals(fencingNumbers.sorted(), fencingNumbers, "a stale order was applied: $finalState")
            }
            oldSidecar.kill()
            frostFleece.close()
        }
    }
}
