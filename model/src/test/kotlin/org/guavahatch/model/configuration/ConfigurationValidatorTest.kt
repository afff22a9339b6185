package org.guavahatch.model.configuration

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class ConfigurationValidatorTest {
    private val validHash = "0".repeat(64)
    private val valid = ConfigurationSet(
        tiers = listOf(Tier("till", 0), Tier("desk", 1)),
        clientAccounts = listOf(ClientAccount("shop", listOf(HashedKey("s", validHash)), "till")),
        endpointPools = listOf(
            EndpointPool("model-desk", PoolKind.MODEL, listOf("cairo-a")),
            EndpointPool("order-app", PoolKind.APPLICATION, listOf("cairo-a")),
        ),
        routes = listOf(
            Route("chat", "/v1", "", listOf("POST"), "model-desk", DispatchRule.RESUMABLE, defaultTier = "desk"),
            Route(
                "orders",
                "/orders",
                "",
                listOf("POST"),
                "order-app",
                DispatchRule.AT_MOST_ONCE,
                defaultTier = "till",
            ),
        ),
    )

    private class Case(val path: String, val value: String, val message: String, val set: ConfigurationSet)

    private fun route(change: Route.() -> Route) =
        valid.copy(routes = listOf(valid.routes[0], valid.routes[1].change()))

    private val cases = listOf(
        Case("$.tiers", "[]", "At least one", valid.copy(tiers = emptyList())),
        Case(
            "$.tiers[1].rank",
            "0",
            "needs a unique rank",
            valid.copy(tiers = listOf(Tier("till", 0), Tier("desk", 0))),
        ),
        Case("$.tiers[0].weight", "0", "1 to 1000", valid.copy(tiers = listOf(Tier("till", 0, 0), Tier("desk", 1)))),
        Case(
            "$.tiers[0].objectivePercent",
            "100.0",
            "below 100",
            valid.copy(tiers = listOf(Tier("till", 0, 1, 100.0), Tier("desk", 1))),
        ),
        Case(
            "$.clientAccounts[0].highestTier",
            "royal",
            "Known names: till, desk",
            valid.copy(clientAccounts = listOf(valid.clientAccounts[0].copy(highestTier = "royal"))),
        ),
        Case(
            "$.clientAccounts[0].keys[0].hash",
            "x",
            "64 hexadecimal digits",
            valid.copy(clientAccounts = listOf(valid.clientAccounts[0].copy(keys = listOf(HashedKey("s", "x"))))),
        ),
        Case("$.endpointPools[1].name", "order-app", "No route", valid.copy(routes = valid.routes.take(1))),
        Case("$.routes[1].pool", "nowhere", "Known names: model-desk, order-app", route { copy(pool = "nowhere") }),
        Case("$.routes[1].pathPrefix", "orders", "must start with '/'", route { copy(pathPrefix = "orders") }),
        Case("$.routes[1].pathPrefix", "/v1", "'chat' has the same path prefix", route { copy(pathPrefix = "/v1") }),
        Case("$.routes[1].removedPrefix", "/x", "must start with this value", route { copy(removedPrefix = "/x") }),
        Case("$.routes[1].methods[0]", "FETCH", "GET, POST", route { copy(methods = listOf("FETCH")) }),
        Case("$.routes[1].name", "chat", "Duplicate name", route { copy(name = "chat") }),
        Case("$.routes[1].name", "Orders", "lower-case", route { copy(name = "Orders") }),
        Case(
            "$.routes[1].defaultDeadlineMilliseconds",
            "0",
            "1 to 3600000 ms",
            route { copy(defaultDeadlineMilliseconds = 0) },
        ),
        Case("$.routes[1].dispatch", "resumable", "repeatable", route { copy(dispatch = DispatchRule.RESUMABLE) }),
        Case(
            "$.routes[1].idempotencyKey",
            "required",
            "at-most-once",
            route { copy(dispatch = DispatchRule.REPEATABLE, idempotencyKey = IdempotencyKeyRule.REQUIRED) },
        ),
        Case(
            "$.drains[0].pool",
            "nowhere",
            "Known names",
            valid.copy(drains = listOf(Drain("endpoint-1", "nowhere", "test"))),
        ),
    )

    @Test
    fun `a valid set has no problems and is unchanged after encoding and decoding`() {
        assertEquals(emptyList(), ConfigurationValidator.validate(valid))
        assertEquals(valid, ConfigurationReader.read("test", ConfigurationReader.write(valid)).getOrNull())
    }

    @Test
    fun `each problem reports its path, value and allowed values`() {
        cases.forEach { case ->
            val problems = ConfigurationValidator.validate(case.set)
            val found = assertNotNull(problems.find { it.path == case.path && case.message in it.message }, "$problems")
            assertEquals(case.value, found.value, case.path)
        }
    }

    @Test
    fun `all problems are reported together`() {
        val set = valid.copy(
            routes = valid.routes.map { it.copy(pool = "nowhere", defaultTier = "nothing") },
            drains = listOf(Drain("", "nowhere", "test")),
        )
        val paths = ConfigurationValidator.validate(set).map { it.path }
        assertTrue(paths.containsAll(listOf("$.routes[0].pool", "$.routes[1].defaultTier", "$.drains[0].endpoint")))
    }

    @Test
    fun `a hash matches only the key it was computed from`() {
        val hashed = HashedKey.of("salt", "key")
        assertTrue(hashed.matches("key"))
        listOf("Key", "key ", "", "salt").forEach { assertTrue(!hashed.matches(it), it) }
    }
}
