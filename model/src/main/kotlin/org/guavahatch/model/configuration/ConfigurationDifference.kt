package org.guavahatch.model.configuration

/**
 * A difference of one named object between two configurations.
 *
 * @property kind list that the object stands in, as in `routes`
 * @property name name of the object
 * @property before the object in the older set, or null if it was added
 * @property after the object in the newer set, or null if it was removed
 */
public data class ObjectDifference(
    public val kind: String,
    public val name: String,
    public val before: String?,
    public val after: String?,
) {
    override fun toString(): String = when {
        before == null -> "+ $kind/$name $after"
        after == null -> "- $kind/$name $before"
        else -> "~ $kind/$name $before -> $after"
    }
}

/** Compares configurations object by object. */
public object ConfigurationDifference {
    /** The differences from [older] to [newer], by kind and name. */
    public fun between(older: ConfigurationSet, newer: ConfigurationSet): List<ObjectDifference> =
        compare("tiers", older.tiers, newer.tiers) { it.name } +
            compare("clientAccounts", older.clientAccounts, newer.clientAccounts) { it.name } +
            compare("endpointPools", older.endpointPools, newer.endpointPools) { it.name } +
            compare("routes", older.routes, newer.routes) { it.name } +
            compare("drains", older.drains, newer.drains) { "${it.pool}/${it.endpoint}" }

    private fun <T> compare(kind: String, older: List<T>, newer: List<T>, name: (T) -> String): List<ObjectDifference> {
        val before = older.associateBy(name)
        val after = newer.associateBy(name)
        return (before.keys + after.keys).sorted()
            .filter { before[it] != after[it] }
            .map { ObjectDifference(kind, it, before[it]?.toString(), after[it]?.toString()) }
    }
}
