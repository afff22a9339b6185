package org.guavahatch.cli.process

import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Freezes the sidecars of all applications at random moments while orders arrive, until their callers have been
 * answered, and thaws them. What was told is compared with what was executed.
 */
class FrozenSidecarTest {
    private val frostFleece = FrostFleece()

    @AfterTest
    fun stop() = frostFleece.close()

    @Test
    fun `orders that were told not to have run are not run by a sidecar that wakes`() {
        val random = Random(1)
        val told = HashMap<String, String>()
        repeat(ROUNDS) { round ->
            told["before-$round"] = frostFleece.placeOrder("before-$round").header("guavahatch-outcome")
            val orders = List(ORDERS) { "frozen-$round-$it" }.map { key ->
                Thread.sleep(random.nextLong(0, 8))
                key to CompletableFuture.supplyAsync { frostFleece.placeOrder(key, key.length % 2, DEADLINE_MS) }
            }
            val sidecars = frostFleece.deployment.pool("order-app").map { it.sidecar }
            sidecars.forEach {
                it.freeze()
                Thread.sleep(random.nextLong(0, 10))
            }
            told["during-$round"] = frostFleece.placeOrder("during-$round", 0, DEADLINE_MS).header("guavahatch-outcome")
            orders.forEach { (key, answer) -> told[key] = answer.get().header("guavahatch-outcome") }
            sidecars.forEach { it.thaw() }
            frostFleece.deployment.awaitReady()
        }
        Thread.sleep(2000)
        println("frozen sidecars: ${told.values.groupingBy { it }.eachCount()}")
        told.forEach { (key, outcome) ->
            val executions = frostFleece.executions(key)
            assertTrue(executions <= 1, "$key was executed $executions times")
            if (outcome == "not-run") assertEquals(0, executions, "$key was told not to have run")
            if (outcome == "answered") assertEquals(1, executions, key)
        }
        assertTrue(told.values.toSet().containsAll(setOf("answered", "not-run")), "the freezes hit nothing: $told")
    }

    private companion object {
        const val ROUNDS = 6
        const val ORDERS = 12
        const val DEADLINE_MS = 700
    }
}
