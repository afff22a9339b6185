package org.guavahatch.model.configuration

/**
 * A named object that differs between two configurations.
 *
 * @property kind list that contains the object, for example `routes`
 * @property name name of the object
 * @property before text of the object in the older set, or null if the object was added
 * @property after text of the object in the newer set, or null if the object was removed
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

/** Compares two configurations object by object. */
public object ConfigurationDifference {
    /** Returns the objects that differ between [older] and [newer], grouped by kind and sorted by name. */
    public fun between(older: ConfigurationSet, newer: ConfigurationSet): List<ObjectDifference> =
        compare("tiers", older.tiers, newer.tiers) { it.name } +
            compare("clientAccounts", older.clientAccounts, newer.clientAccounts) { it.name } +
            compare("endpointPools", older.endpointPools, newer.endpointPools) { it.name } +
            compare("routes", older.routes, newer.routes) { it.name } +
            compare("drains", older.drains, newer.drains) { "${it.pool}/${it.endpoint}" }

    private fun <T> compare(
        kind: String,
        older: List<T>,
        newer: List<T>,
        nameOf: (T) -> String,
    ): List<ObjectDifference> {
        val before = older.associateBy(nameOf)
        val after = newer.associateBy(nameOf)
        return (before.keys + after.keys).sorted()
            .filter { before[it] != after[it] }
            .map { ObjectDifference(kind, it, before[it]?.toString(), after[it]?.toString()) }
    }
}
