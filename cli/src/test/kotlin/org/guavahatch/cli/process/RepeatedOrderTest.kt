package org.guavahatch.cli.process

import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Callers repeat orders with the same key, through other entry instances, while the table service fails in every way.
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
    fun `an order is executed at most once whatever its caller repeats`() {
        faults.forEach { fault ->
            frostFleece.platform.faults(fault.document)
            val keys = List(ORDERS) { "${fault.name}-$it" }
            val first = keys.flatMap { key -> List(2) { entry -> order(key, entry) } }.map { it.get() }
            frostFleece.platform.faults("{}")
            val outcomes = first.map { it.header("guavahatch-outcome") }
            println("${fault.name}: ${outcomes.groupingBy { it }.eachCount()}")
            keys.forEach { key -> assertTrue(frostFleece.executions(key) <= 1, "$key was executed twice") }
            val again = keys.map { key -> order(key, 0).get() }
            println("${fault.name}, repeated: ${again.groupingBy { it.header("guavahatch-outcome") }.eachCount()}")
            keys.zip(again).forEach { (key, answer) ->
                val executions = frostFleece.executions(key)
                assertTrue(executions <= 1, "$key was executed $executions times")
                if (answer.header("guavahatch-outcome") == "answered") assertEquals(1, executions, key)
            }
        }
    }

    @Test
    fun `an order that was answered is replayed, not executed again`() {
        val first = frostFleece.placeOrder("once", 0)
        val second = frostFleece.placeOrder("once", 1)
        assertEquals("answered", first.header("guavahatch-outcome"))
        assertEquals("true", second.header("guavahatch-replayed"))
        assertEquals(first.body(), second.body())
        assertEquals(1, frostFleece.executions("once"))
    }

    private fun order(key: String, entry: Int) =
        CompletableFuture.supplyAsync { frostFleece.placeOrder(key, entry, DEADLINE_MS) }

    private companion object {
        const val ORDERS = 6
        const val DEADLINE_MS = 2500
    }
}
