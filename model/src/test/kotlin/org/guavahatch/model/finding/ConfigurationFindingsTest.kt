package org.guavahatch.model.finding

import org.guavahatch.model.configuration.ClientAccount
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.configuration.Drain
import org.guavahatch.model.configuration.EndpointPool
import org.guavahatch.model.configuration.PoolKind
import org.guavahatch.model.configuration.Route
import org.guavahatch.model.configuration.Tier
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationFindingsTest {
    private val sound = ConfigurationSet(
        tiers = listOf(Tier("desk", 0), Tier("planning", 1)),
        clientAccounts = listOf(ClientAccount("shop", emptyList(), "desk")),
        endpointPools = listOf(EndpointPool("engines", PoolKind.MODEL, listOf("a"))),
        routes = listOf(
            Route(
                name = "chat",
                pathPrefix = "/chat",
                methods = listOf("POST"),
                pool = "engines",
                dispatch = DispatchRule.RESUMABLE,
                defaultTier = "planning",
            ),
        ),
        drains = listOf(Drain("e-1", "engines", "repair", expiresAtMilliseconds = NOW + 1)),
    )

    private class Case(val name: String, val set: ConfigurationSet, val expected: Finding?)

    private val cases = listOf(
        Case("a sound configuration", sound, null),
        Case(
            "a tier above the highest tier of every account",
            sound.copy(clientAccounts = listOf(ClientAccount("shop", emptyList(), "planning"))),
            UnusedTier("$.tiers[0].name", "desk"),
        ),
        Case(
            "an expired drain",
            sound.copy(drains = listOf(Drain("e-1", "engines", "repair", NOW))),
            DrainWithoutEffect("$.drains[0].expiresAtMilliseconds", "$NOW", "it has expired"),
        ),
        Case(
            "a repeated drain",
            sound.copy(drains = List(2) { Drain("e-1", "engines", "repair") }),
            DrainWithoutEffect("$.drains[1].endpoint", "e-1", "an earlier entry drains the same endpoint"),
        ),
        Case(
            "more prefills than requests",
            sound.copy(endpointPools = listOf(sound.endpointPools[0].copy(maximumConcurrent = 2))),
            LimitWithoutEffect(
                "$.endpointPools[0].maximumPrefills",
                "4",
                "the pool runs at most 2 requests at a time",
            ),
        ),
        Case(
            "a prompt limit above what an endpoint holds",
            sound.copy(endpointPools = listOf(sound.endpointPools[0].copy(maximumTokens = 50_000))),
            LimitWithoutEffect(
                "$.routes[0].maximumPromptTokens",
                "100000",
                "the endpoints of pool 'engines' hold at most 50000 tokens",
            ),
        ),
    )

    @Test
    fun `entries without effect and limits that contradict each other are found, and nothing else`() =
        cases.forEach { case ->
            assertEquals(listOfNotNull(case.expected), ConfigurationFindings.find(case.set, NOW), case.name)
        }

    private companion object {
        const val NOW = 1_000_000L
    }
}
