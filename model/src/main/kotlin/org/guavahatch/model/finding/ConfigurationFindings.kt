package org.guavahatch.model.finding

import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.PoolKind

/**
 * Finds entries of a valid [ConfigurationSet] that never take effect and limits that contradict each other.
 *
 * The format has no quotas that could add up to less than a promised share, and no number of attempts.
 */
public object ConfigurationFindings {
    /** Returns the findings in [set]. Drains that end before [nowMilliseconds] (wall clock) have expired. */
    public fun find(set: ConfigurationSet, nowMilliseconds: Long): List<Finding> =
        unusedTiers(set) + drainsWithoutEffect(set, nowMilliseconds) + limitsWithoutEffect(set)

    private fun unusedTiers(set: ConfigurationSet): List<Finding> {
        val rankByName = set.tiers.associate { it.name to it.rank }
        val highestRank = set.clientAccounts.mapNotNull { rankByName[it.highestTier] }.minOrNull() ?: return emptyList()
        val defaults = set.routes.map { it.defaultTier }.toSet()
        return set.tiers.mapIndexedNotNull { index, tier ->
            UnusedTier("$.tiers[$index].name", tier.name)
                .takeIf { tier.rank < highestRank && tier.name !in defaults }
        }
    }

    private fun drainsWithoutEffect(set: ConfigurationSet, nowMilliseconds: Long): List<Finding> =
        set.drains.flatMapIndexed { index, drain ->
            val path = "$.drains[$index]"
            val isRepeated = set.drains.take(index).any { it.endpoint == drain.endpoint && it.pool == drain.pool }
            listOfNotNull(
                DrainWithoutEffect("$path.expiresAtMilliseconds", "${drain.expiresAtMilliseconds}", "it has expired")
                    .takeUnless { drain.isInForce(nowMilliseconds) },
                DrainWithoutEffect("$path.endpoint", drain.endpoint, "an earlier entry drains the same endpoint")
                    .takeIf { isRepeated },
            )
        }

    private fun limitsWithoutEffect(set: ConfigurationSet): List<Finding> {
        val pools = set.endpointPools.mapIndexedNotNull { index, pool ->
            val limit = "the pool runs at most ${pool.maximumConcurrent} requests at a time"
            LimitWithoutEffect("$.endpointPools[$index].maximumPrefills", "${pool.maximumPrefills}", limit)
                .takeIf { pool.kind == PoolKind.MODEL && pool.maximumPrefills > pool.maximumConcurrent }
        }
        val poolByName = set.endpointPools.associateBy { it.name }
        val routes = set.routes.mapIndexedNotNull { index, route ->
            val pool = poolByName[route.pool]?.takeIf { it.kind == PoolKind.MODEL }
            val limit = "the endpoints of pool '${route.pool}' hold at most ${pool?.maximumTokens} tokens"
            LimitWithoutEffect("$.routes[$index].maximumPromptTokens", "${route.maximumPromptTokens}", limit)
                .takeIf { pool != null && route.maximumPromptTokens > pool.maximumTokens }
        }
        return pools + routes
    }
}
