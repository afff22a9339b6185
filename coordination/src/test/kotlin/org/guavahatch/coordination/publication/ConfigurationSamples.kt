package org.guavahatch.coordination.publication

/** Small valid configurations. */
internal object ConfigurationSamples {
    /** A configuration with one pool named [pool]. */
    fun text(pool: String): String = """
        {
          "tiers": [{ "name": "till", "rank": 0 }],
          "clientAccounts": [
            { "name": "shop", "keys": [{ "salt": "s", "hash": "${"0".repeat(64)}" }], "highestTier": "till" }
          ],
          "endpointPools": [{ "name": "$pool", "kind": "application", "zones": ["cairo-a"] }],
          "routes": [
            {
              "name": "orders", "pathPrefix": "/orders", "methods": ["POST"], "pool": "$pool",
              "dispatch": "at-most-once", "defaultTier": "till"
            }
          ]
        }
    """.trimIndent()
}
