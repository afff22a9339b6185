package org.guavahatch.cli.process

import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Freezes the sidecars of all applications at random times while orders arrive, and resumes them after every caller has
 * a response. The reported outcomes must agree with the executions.
 */
class FrozenSidecarTest {
    private val frostFleece = FrostFleece()

    @AfterTest
    fun stop() = frostFleece.close()

    @Test
    fun `a resumed sidecar does not run orders that were reported as not run`() {
        val random = Random(1)
        val outcomes = HashMap<String, String>()
        repeat(ROUNDS) { round ->
            outcomes["before-$round"] = frostFleece.placeOrder("before-$round").header("guavahatch-outcome")
            val orders = List(ORDERS) { "frozen-$round-$it" }.map { key ->
                Thread.sleep(random.nextLong(0, 8))
                key to CompletableFuture.supplyAsync {
                    frostFleece.placeOrder(key, key.length % 2, DEADLINE_MILLISECONDS)
                }
            }
            val sidecars = frostFleece.deployment.endpointsOf("order-app").map { it.sidecar }
            sidecars.forEach {
                it.suspendProcess()
                Thread.sleep(random.nextLong(0, 10))
            }
            outcomes["during-$round"] =
                frostFleece.placeOrder("during-$round", 0, DEADLINE_MILLISECONDS).header("guavahatch-outcome")
            orders.forEach { (key, response) -> outcomes[key] = response.get().header("guavahatch-outcome") }
            sidecars.forEach { it.resumeProcess() }
            frostFleece.deployment.awaitReady()
        }
        Thread.sleep(2000)
        println("frozen sidecars: ${outcomes.values.groupingBy { it }.eachCount()}")
        outcomes.forEach { (key, outcome) ->
            val executions = frostFleece.executions(key)
            assertTrue(executions <= 1, "$key was executed $executions times")
            if (outcome == "not-run") assertEquals(0, executions, "$key was reported as not run")
            if (outcome == "answered") assertEquals(1, executions, key)
        }
        assertTrue(
            outcomes.values.toSet().containsAll(setOf("answered", "not-run")),
            "the freezes affected no order: $outcomes",
        )
    }

    private companion object {
        const val ROUNDS = 6
        const val ORDERS = 12
        const val DEADLINE_MILLISECONDS = 700
    }
}
