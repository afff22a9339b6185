package org.guavahatch.model.configuration

import org.guavahatch.model.check.Problem
import org.guavahatch.model.check.ProblemCollector

/**
 * Validates the objects of a configuration and the references between them: names, references, value ranges and unused
 * endpoint pools.
 */
public object ConfigurationValidator {
    private val NAME_PATTERN = Regex("[a-z0-9][a-z0-9-]{0,62}")
    private val HTTP_METHODS = setOf("GET", "POST", "PUT", "DELETE", "PATCH")
    private val ENGINE_SETTING_NAMES = listOf("model", "adapter", "version", "role")
    private val HASH_PATTERN = Regex("[0-9a-fA-F]{64}")
    private val DEADLINE_MILLISECONDS_RANGE = 1L..3_600_000L
    private val BODY_BYTES_RANGE = 0L..8_388_608L
    private val PROMPT_TOKENS_RANGE = 1L..1_000_000L
    private val WEIGHT_RANGE = 1L..1000L
    private val IN_FLIGHT_RANGE = 1L..100_000L
    private val CONCURRENT_RANGE = 1L..4096L
    private val TOKENS_RANGE = 1L..100_000_000L

    /** Returns all problems found in [set]. The list is empty if [set] can be published. */
    public fun validate(set: ConfigurationSet): List<Problem> {
        val collector = ProblemCollector()
        checkNames(collector, "$.tiers", set.tiers.map { it.name })
        checkNames(collector, "$.clientAccounts", set.clientAccounts.map { it.name })
        checkNames(collector, "$.endpointPools", set.endpointPools.map { it.name })
        checkNames(collector, "$.routes", set.routes.map { it.name })
        checkTiers(collector, set)
        set.clientAccounts.forEachIndexed { index, account -> checkClientAccount(collector, set, index, account) }
        set.endpointPools.forEachIndexed { index, pool -> checkEndpointPool(collector, set, index, pool) }
        set.routes.forEachIndexed { index, route -> checkRoute(collector, set, index, route) }
        checkUniquePathPrefixes(collector, set.routes)
        set.drains.forEachIndexed { index, drain -> checkDrain(collector, set, index, drain) }
        return collector.problems
    }

    private fun checkNames(collector: ProblemCollector, path: String, names: List<String>) {
        collector.require(names.isNotEmpty(), path, "[]") { "At least one is required." }
        names.forEachIndexed { index, name ->
            val namePath = "$path[$index].name"
            collector.require(NAME_PATTERN.matches(name), namePath, name) {
                "Must be 1 to 63 lower-case letters, digits and hyphens, and must not start with a hyphen."
            }
            collector.require(names.indexOf(name) == index, namePath, name) { "Duplicate name." }
        }
    }

    private fun checkTiers(collector: ProblemCollector, set: ConfigurationSet) {
        val ranks = set.tiers.map { it.rank }
        set.tiers.forEachIndexed { index, tier ->
            val path = "$.tiers[$index]"
            collector.requireRange("$path.rank", tier.rank.toLong(), 0L..15L, "")
            collector.require(ranks.indexOf(tier.rank) == index, "$path.rank", tier.rank) {
                "Each tier needs a unique rank."
            }
            collector.requireRange("$path.weight", tier.weight.toLong(), WEIGHT_RANGE, "")
            collector.require(
                tier.objectivePercent > 0 && tier.objectivePercent < 100,
                "$path.objectivePercent",
                tier.objectivePercent,
            ) { "Must be above 0 and below 100 percent." }
        }
    }

    private fun checkClientAccount(
        collector: ProblemCollector,
        set: ConfigurationSet,
        index: Int,
        account: ClientAccount,
    ) {
        val path = "$.clientAccounts[$index]"
        checkReference(collector, "$path.highestTier", account.highestTier, set.tiers.map { it.name })
        collector.requireRange("$path.share", account.share.toLong(), WEIGHT_RANGE, "")
        collector.requireRange("$path.maximumInFlight", account.maximumInFlight.toLong(), IN_FLIGHT_RANGE, "requests")
        collector.require(account.keys.isNotEmpty(), "$path.keys", "[]") { "At least one key is required." }
        account.keys.forEachIndexed { position, key ->
            collector.require(HASH_PATTERN.matches(key.hash), "$path.keys[$position].hash", key.hash) {
                "Must be a SHA-256 hash of 64 hexadecimal digits."
            }
        }
    }

    private fun checkEndpointPool(collector: ProblemCollector, set: ConfigurationSet, index: Int, pool: EndpointPool) {
        val path = "$.endpointPools[$index]"
        collector.require(pool.zones.isNotEmpty(), "$path.zones", "[]") { "At least one zone is required." }
        collector.requireRange("$path.maximumConcurrent", pool.maximumConcurrent.toLong(), CONCURRENT_RANGE, "requests")
        collector.requireRange("$path.maximumTokens", pool.maximumTokens, TOKENS_RANGE, "tokens")
        collector.requireRange("$path.maximumPrefills", pool.maximumPrefills.toLong(), CONCURRENT_RANGE, "requests")
        pool.engineSettings.forEachIndexed { position, setting ->
            checkReference(collector, "$path.engineSettings[$position].name", setting.name, ENGINE_SETTING_NAMES)
        }
        val hasEngineSettings = pool.engineSettings.isNotEmpty()
        collector.require(
            !hasEngineSettings || pool.kind == PoolKind.MODEL,
            "$path.engineSettings",
            pool.engineSettings,
        ) {
            "Only model pools can have engine settings."
        }
        collector.require(set.routes.any { it.pool == pool.name }, "$path.name", pool.name) {
            "No route uses the pool."
        }
    }

    private fun checkRoute(collector: ProblemCollector, set: ConfigurationSet, index: Int, route: Route) {
        val path = "$.routes[$index]"
        checkReference(collector, "$path.pool", route.pool, set.endpointPools.map { it.name })
        checkReference(collector, "$path.defaultTier", route.defaultTier, set.tiers.map { it.name })
        collector.require(route.pathPrefix.startsWith("/"), "$path.pathPrefix", route.pathPrefix) {
            "The path must start with '/'."
        }
        collector.require(
            route.pathPrefix.startsWith(route.removedPrefix),
            "$path.removedPrefix",
            route.removedPrefix,
        ) {
            "The path prefix '${route.pathPrefix}' must start with this value."
        }
        collector.require(route.methods.isNotEmpty(), "$path.methods", "[]") { "At least one method is required." }
        route.methods.forEachIndexed { position, method ->
            checkReference(collector, "$path.methods[$position]", method, HTTP_METHODS.toList())
        }
        val deadline = route.defaultDeadlineMilliseconds
        collector.requireRange("$path.defaultDeadlineMilliseconds", deadline, DEADLINE_MILLISECONDS_RANGE, "ms")
        collector.requireRange("$path.maximumBodyBytes", route.maximumBodyBytes.toLong(), BODY_BYTES_RANGE, "bytes")
        collector.requireRange(
            "$path.maximumPromptTokens",
            route.maximumPromptTokens.toLong(),
            PROMPT_TOKENS_RANGE,
            "tokens",
        )
        checkDispatch(collector, set, path, route)
    }

    private fun checkDispatch(collector: ProblemCollector, set: ConfigurationSet, path: String, route: Route) {
        val kind = set.endpointPools.find { it.name == route.pool }?.kind
        val isResumable = route.dispatch == DispatchRule.RESUMABLE
        collector.require(!isResumable || kind != PoolKind.APPLICATION, "$path.dispatch", "resumable") {
            "Calls of application pools cannot be resumed. Allowed values: at-most-once, repeatable."
        }
        val requiresIdempotencyKey = route.idempotencyKey == IdempotencyKeyRule.REQUIRED
        collector.require(
            !requiresIdempotencyKey || route.dispatch == DispatchRule.AT_MOST_ONCE,
            "$path.idempotencyKey",
            "required",
        ) {
            "An idempotency key can be required only with dispatch at-most-once."
        }
    }

    private fun checkUniquePathPrefixes(collector: ProblemCollector, routes: List<Route>) {
        routes.forEachIndexed { index, route ->
            val first = routes.indexOfFirst { it.pathPrefix == route.pathPrefix }
            collector.require(first == index, "$.routes[$index].pathPrefix", route.pathPrefix) {
                "The route '${routes[first].name}' has the same path prefix."
            }
        }
    }

    private fun checkDrain(collector: ProblemCollector, set: ConfigurationSet, index: Int, drain: Drain) {
        val path = "$.drains[$index]"
        checkReference(collector, "$path.pool", drain.pool, set.endpointPools.map { it.name })
        collector.require(drain.endpoint.isNotBlank(), "$path.endpoint", drain.endpoint) {
            "An endpoint name is required."
        }
        collector.require(
            drain.expiresAtMilliseconds >= 0,
            "$path.expiresAtMilliseconds",
            drain.expiresAtMilliseconds,
        ) {
            "Must be 0 (never expires) or milliseconds since 1970-01-01T00:00:00Z."
        }
    }

    private fun checkReference(collector: ProblemCollector, path: String, value: String, allowed: List<String>) {
        collector.require(value in allowed, path, value) {
            "Unknown name '$value'. Known names: ${allowed.joinToString()}."
        }
    }
}
