package org.guavahatch.cli.process

import org.guavahatch.standins.launch.LocalHttp
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * The application answers late, swaps answers between requests, truncates them or never answers. Each caller gets its
 * own complete answer or the outcome "unknown".
 */
class FaultyApplicationTest {
    private val frostFleece = FrostFleece()

    @AfterTest
    fun stop() = frostFleece.close()

    @Test
    fun `no caller gets a truncated answer or the answer to another request`() {
        val faults = listOf(
            """{"mode":"crossed","everyNth":2}""",
            """{"mode":"cut","everyNth":2}""",
            """{"mode":"late","everyNth":2,"delayMilliseconds":3000}""",
            """{"mode":"never","everyNth":3}""",
        )
        faults.forEach { fault ->
            frostFleece.deployment.endpointsOf("order-app").forEach { LocalHttp.put("${it.endpointUrl}/fault", fault) }
            val name = fault.filter { it.isLetter() }.take(12)
            val answers = List(ORDERS) { "$name-$it" }
                .associateWith { frostFleece.placeOrder(it, deadlineMilliseconds = 800) }
            answers.forEach { (key, answer) ->
                when (answer.header("guavahatch-outcome")) {
                    "answered" -> assertTrue("\"name\":\"$key\"" in answer.body(), "$fault: $key got ${answer.body()}")
                    else -> assertEquals("unknown", answer.header("guavahatch-outcome"), "$fault: $key")
                }
                assertEquals(1, frostFleece.executions(key), "$fault: $key")
            }
            assertTrue(answers.values.any { it.header("guavahatch-outcome") == "unknown" }, "$fault had no effect")
            frostFleece.deployment.endpointsOf("order-app").forEach { LocalHttp.put("${it.endpointUrl}/fault", "{}") }
        }
    }

    private companion object {
        const val ORDERS = 6
    }
}
