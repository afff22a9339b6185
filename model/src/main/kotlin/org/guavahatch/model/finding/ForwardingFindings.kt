package org.guavahatch.model.finding

import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.forwarding.ForwardingConfiguration
import org.guavahatch.model.forwarding.ForwardingRoute

/**
 * Finds entries of a [ForwardingConfiguration] that never take effect and limits that contradict each other.
 *
 * Paths use the names of the model; accounts are numbered in the order of the configuration.
 *
 * @property retriesPerRequest retry budget of the gateways for each request, or null if it is not known
 * @property maximumBufferedBodyBytes bytes of request bodies that a gateway buffers, or null if it is not known
 */
public class ForwardingFindings(
    private val retriesPerRequest: Double? = null,
    private val maximumBufferedBodyBytes: Long? = null,
) {
    /** Returns the findings in [configuration]. */
    public fun find(configuration: ForwardingConfiguration): List<Finding> =
        configuration.routes.flatMapIndexed { index, route -> routeFindings(configuration.routes, index, route) } +
            accountFindings(configuration.accounts.values.toList()) +
            listOfNotNull(bodyLimitFinding(configuration.limits.maximumBodyBytes))

    private fun routeFindings(routes: List<ForwardingRoute>, index: Int, route: ForwardingRoute): List<Finding> {
        val path = "$.routes[$index]"
        // Of the routes with the same host and prefix the last one takes precedence.
        val covering = routes.drop(index + 1).lastOrNull {
            it.host.equals(route.host, ignoreCase = true) && it.prefix == route.prefix
        }
        val isPrefix = route.prefix.startsWith("/") && route.prefix.endsWith("/")
        val hasTarget = route.targets.any { it.weight > 0 }
        return listOfNotNull(
            covering?.let { CoveredRoute("$path.prefix", route.host + route.prefix, it.name) },
            UnmatchedPrefix("$path.prefix", route.prefix).takeUnless { isPrefix },
            RouteWithoutTarget("$path.targets", route.name).takeUnless { hasTarget },
            TimeoutBelowObjective(
                "$path.timeoutMilliseconds",
                "${route.timeoutMilliseconds}",
                route.targetLatencyMilliseconds,
            ).takeIf { route.timeoutMilliseconds < route.targetLatencyMilliseconds },
            attemptsFinding("$path.maximumAttempts", route),
        ) + if (hasTarget) targetFindings(path, route) else emptyList()
    }

    private fun targetFindings(path: String, route: ForwardingRoute): List<Finding> =
        route.targets.mapIndexedNotNull { index, target ->
            TargetWithoutWeight("$path.targets[$index].weight", target.pool).takeIf { target.weight <= 0 }
        }

    private fun attemptsFinding(path: String, route: ForwardingRoute): Finding? {
        val attempts = "${route.maximumAttempts}"
        return when {
            route.maximumAttempts == 1 -> null
            !route.isRepeatable -> AttemptsWithoutEffect(path, attempts)
            retriesPerRequest == null || route.maximumAttempts - 1 <= maxOf(1.0, retriesPerRequest) -> null
            else -> AttemptsBeyondBudget(path, attempts, retriesPerRequest)
        }
    }

    private fun accountFindings(accounts: List<ForwardingAccount>): List<Finding> {
        val ownerByKey = HashMap<String, String>()
        return accounts.flatMapIndexed { index, account ->
            val path = "$.accounts[$index]"
            val sharedKeys = account.keys.mapNotNull { key ->
                ownerByKey.put(key, account.name)?.let { owner -> SharedKey("$path.keys", account.name, owner) }
            }
            val units = account.quota?.unitsOf(null) ?: 0
            val burst = account.quota?.burstUnits ?: 0.0
            sharedKeys + listOfNotNull(
                AccountWithoutKeys("$path.keys", account.name).takeIf { account.keys.isEmpty() },
                BurstBelowRequest("$path.quota.burstUnits", "$burst", units)
                    .takeIf { account.quota != null && burst < units },
            )
        }
    }

    private fun bodyLimitFinding(maximumBodyBytes: Int): Finding? {
        val buffered = maximumBufferedBodyBytes?.takeIf { maximumBodyBytes > it } ?: return null
        val limit = "a gateway buffers at most $buffered bytes of request bodies"
        return LimitWithoutEffect("$.limits.maximumBodyBytes", "$maximumBodyBytes", limit)
    }
}
