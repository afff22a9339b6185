package org.guavahatch.cli.process

import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Callers repeat orders with the same idempotency key through other entry instances while the table service is slow, is
 * down, or loses its responses after the write.
 */
class RepeatedOrderTest {
    private val frostFleece = FrostFleece()

    @AfterTest
    fun stop() = frostFleece.close()

    private class Fault(val name: String, val document: String)

    private val faults = listOf(
        Fault("none", "{}"),
        Fault("slow", """{"table":{"mode":"up","delayMilliseconds":300}}"""),
        Fault("answers-lost", """{"table":{"mode":"answers-lost"}}"""),
        Fault("down", """{"table":{"mode":"down"}}"""),
    )

    @Test
    fun `an order is executed at most once however often its caller repeats it`() {
        faults.forEach { fault ->
            frostFleece.platform.setFaults(fault.document)
            val keys = List(ORDERS) { "${fault.name}-$it" }
            val firstResponses = keys.flatMap { key -> List(2) { entry -> placeOrder(key, entry) } }.map { it.get() }
            frostFleece.platform.setFaults("{}")
            val outcomes = firstResponses.map { it.header("guavahatch-outcome") }
            println("${fault.name}: ${outcomes.groupingBy { it }.eachCount()}")
            keys.forEach { key -> assertTrue(frostFleece.executions(key) <= 1, "$key was executed twice") }
            val repeatedResponses = keys.map { key -> placeOrder(key, 0).get() }
            val repeatedOutcomes = repeatedResponses.groupingBy { it.header("guavahatch-outcome") }.eachCount()
            println("${fault.name}, repeated: $repeatedOutcomes")
            keys.zip(repeatedResponses).forEach { (key, response) ->
                val executions = frostFleece.executions(key)
                assertTrue(executions <= 1, "$key was executed $executions times")
                if (response.header("guavahatch-outcome") == "answered") assertEquals(1, executions, key)
            }
        }
    }

    @Test
    fun `the answer to a completed order is replayed without another execution`() {
        val first = frostFleece.placeOrder("once", 0)
        val second = frostFleece.placeOrder("once", 1)
        assertEquals("answered", first.header("guavahatch-outcome"))
        assertEquals("true", second.header("guavahatch-replayed"))
        assertEquals(first.body(), second.body())
        assertEquals(1, frostFleece.executions("once"))
    }

    private fun placeOrder(key: String, entry: Int) =
        CompletableFuture.supplyAsync { frostFleece.placeOrder(key, entry, DEADLINE_MILLISECONDS) }

    private companion object {
        const val ORDERS = 6
        const val DEADLINE_MILLISECONDS = 2500
    }
}
