package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId

/**
 * Estimates which prompt prefixes the endpoints have cached, from the prompts that were sent to them.
 *
 * The result is only an estimate: engines evict entries without notification, and their cache events are delayed and
 * incomplete.
 *
 * @property blockCharacters number of prompt characters per block, default 512
 * @property maximumBlocks maximum number of blocks; the least recently used are evicted first, default 20 000
 */
public class PrefixIndex(
    private val blockCharacters: Int = DEFAULT_BLOCK_CHARACTERS,
    private val maximumBlocks: Int = DEFAULT_MAXIMUM_BLOCKS,
) {
    private val endpointsByBlock = object : LinkedHashMap<Long, Set<EndpointId>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Set<EndpointId>>): Boolean =
            size > maximumBlocks
    }

    /** Returns the hashes of the prefixes of [prompt] that consist of whole blocks, the shortest first. */
    public fun blocksOf(prompt: String): List<Long> {
        var hash = HASH_SEED
        return prompt.chunked(blockCharacters).filter { it.length == blockCharacters }.map { block ->
            hash = hash * HASH_MULTIPLIER + block.hashCode()
            hash
        }
    }

    /** Records that [endpoint] processes a prompt with these [blocks]. */
    public fun record(blocks: List<Long>, endpoint: EndpointId) {
        blocks.forEach { block -> endpointsByBlock.merge(block, setOf(endpoint)) { old, new -> old + new } }
    }

    /** Returns the estimated share of [blocks] in the cache of each endpoint, without the endpoints that have none. */
    public fun cachedShares(blocks: List<Long>): Map<EndpointId, Double> {
        val counts = HashMap<EndpointId, Int>()
        var holders: Set<EndpointId>? = null
        for (block in blocks) {
            val endpoints = endpointsByBlock[block].orEmpty()
            holders = holders?.intersect(endpoints) ?: endpoints
            if (holders.isEmpty()) break
            holders.forEach { counts.merge(it, 1, Int::plus) }
        }
        return counts.mapValues { (_, count) -> count.toDouble() / blocks.size }
    }

    /** Removes [endpoint] from all blocks, after it restarted or left. */
    public fun forget(endpoint: EndpointId) {
        endpointsByBlock.replaceAll { _, endpoints -> endpoints - endpoint }
    }

    private companion object {
        const val DEFAULT_BLOCK_CHARACTERS = 512
        const val DEFAULT_MAXIMUM_BLOCKS = 20_000
        const val INITIAL_CAPACITY = 1024
        const val LOAD_FACTOR = 0.75f
        const val HASH_SEED = 1_125_899_906_842_597L
        const val HASH_MULTIPLIER = 31L
    }
}
