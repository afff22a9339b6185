package org.guavahatch.model.finding

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.forwarding.AccountQuota
import org.guavahatch.model.forwarding.CallerLimits
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.forwarding.ForwardingConfiguration
import org.guavahatch.model.forwarding.ForwardingDifference
import org.guavahatch.model.forwarding.ForwardingRoute
import org.guavahatch.model.forwarding.RouteTarget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class ForwardingFindingsTest {
    private val route = ForwardingRoute(
        name = "chat",
        host = "a.example",
        prefix = "/chat/",
        targets = persistentListOf(RouteTarget("engines", 1)),
        dispatchRule = DispatchRule.REPEATABLE,
        isStream = true,
        timeoutMilliseconds = 6_000,
        targetLatencyMilliseconds = 600,
        maximumAttempts = 2,
        rank = 0,
        allowsAnonymousCallers = false,
    )
    private val account =
        ForwardingAccount("shop", persistentSetOf("key-1"), null, AccountQuota(10.0, 500.0, true, 200))

    private fun configuration(
        routes: List<ForwardingRoute> = listOf(route),
        accounts: List<ForwardingAccount> = listOf(account),
        bodyBytes: Int = 1_000,
    ) = ForwardingConfiguration(
        1,
        routes.toImmutableList(),
        CallerLimits(16_384, bodyBytes, 3_000, 15_000),
        accounts.associateBy { it.name }.toImmutableMap(),
    )

    private class Case(val name: String, val configuration: ForwardingConfiguration, val expected: List<Finding>)

    private val cases = listOf(
        Case("a sound configuration", configuration(), emptyList()),
        Case(
            "two routes with the same host and prefix",
            configuration(listOf(route, route.copy(name = "chat-2", host = "A.example"))),
            listOf(CoveredRoute("$.routes[0].prefix", "a.example/chat/", "chat-2")),
        ),
        Case(
            "a prefix that does not end with a slash",
            configuration(listOf(route.copy(prefix = "/chat"))),
            listOf(UnmatchedPrefix("$.routes[0].prefix", "/chat")),
        ),
        Case(
            "a route without a pool",
            configuration(listOf(route.copy(targets = persistentListOf()))),
            listOf(RouteWithoutTarget("$.routes[0].targets", "chat")),
        ),
        Case(
            "a route whose only pool has weight 0",
            configuration(listOf(route.copy(targets = persistentListOf(RouteTarget("engines", 0))))),
            listOf(RouteWithoutTarget("$.routes[0].targets", "chat")),
        ),
        Case(
            "one of two pools has weight 0",
            configuration(listOf(route.copy(targets = persistentListOf(RouteTarget("a", 1), RouteTarget("b", 0))))),
            listOf(TargetWithoutWeight("$.routes[0].targets[1].weight", "b")),
        ),
        Case(
            "a timeout below the latency objective",
            configuration(listOf(route.copy(timeoutMilliseconds = 500))),
            listOf(TimeoutBelowObjective("$.routes[0].timeoutMilliseconds", "500", 600)),
        ),
        Case(
            "several attempts of a route that runs at most once",
            configuration(listOf(route.copy(dispatchRule = DispatchRule.AT_MOST_ONCE))),
            listOf(AttemptsWithoutEffect("$.routes[0].maximumAttempts", "2")),
        ),
        Case(
            "more attempts than the retry budget allows",
            configuration(listOf(route.copy(maximumAttempts = 3))),
            listOf(AttemptsBeyondBudget("$.routes[0].maximumAttempts", "3", 0.2)),
        ),
        Case(
            "an account without keys",
            configuration(accounts = listOf(account.copy(keys = persistentSetOf()))),
            listOf(AccountWithoutKeys("$.accounts[0].keys", "shop")),
        ),
        Case(
            "a key of two accounts",
            configuration(accounts = listOf(account, account.copy(name = "till"))),
            listOf(SharedKey("$.accounts[1].keys", "till", "shop")),
        ),
        Case(
            "a burst below one request",
            configuration(accounts = listOf(account.copy(quota = AccountQuota(10.0, 100.0, true, 200)))),
            listOf(BurstBelowRequest("$.accounts[0].quota.burstUnits", "100.0", 200)),
        ),
        Case(
            "a body limit above what a gateway buffers",
            configuration(bodyBytes = 5_000),
            listOf(
                LimitWithoutEffect(
                    "$.limits.maximumBodyBytes",
                    "5000",
                    "a gateway buffers at most 4000 bytes of request bodies",
                ),
            ),
        ),
    )

    @Test
    fun `entries without effect and limits that contradict each other are found, and nothing else`() =
        cases.forEach { case ->
            val found = ForwardingFindings(retriesPerRequest = 0.2, maximumBufferedBodyBytes = 4_000)
                .find(case.configuration)
            assertEquals(case.expected, found, case.name)
        }

    @Test
    fun `a difference tells that keys changed without telling the keys`() {
        val newer = configuration(accounts = listOf(account.copy(keys = persistentSetOf("key-2", "key-3"))))
        val differences = ForwardingDifference.between(configuration(), newer)
        assertEquals(listOf("accounts", "accountKeys"), differences.map { it.kind })
        assertEquals("~ accountKeys/shop 1 removed -> 2 added", "${differences.last()}")
        assertFalse(differences.any { "key-" in "$it" })
    }
}
