package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId

/**
 * Remembers which endpoints were sent which prompt prefixes. It is a guess at their caches: engines evict without
 * telling, and their cache events come late and with gaps.
 *
 * @property blockCharacters characters of prompt that form one block, default 512
 * @property maximumBlocks blocks that are remembered, least recently used ones go first, default 20 000
 */
public class PrefixIndex(
    private val blockCharacters: Int = DEFAULT_BLOCK_CHARACTERS,
    private val maximumBlocks: Int = DEFAULT_MAXIMUM_BLOCKS,
) {
    private val endpointsByBlock = object : LinkedHashMap<Long, Set<EndpointId>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Set<EndpointId>>): Boolean =
            size > maximumBlocks
    }

    /** Hashes of the prefixes of [prompt] that end at a whole block, the shortest first. */
    public fun blocksOf(prompt: String): List<Long> {
        var hash = HASH_SEED
        return prompt.chunked(blockCharacters).filter { it.length == blockCharacters }.map { block ->
            hash = hash * HASH_MULTIPLIER + block.hashCode()
            hash
        }
    }

    /** Notes that [endpoint] computes a prompt with these [blocks]. */
    public fun note(blocks: List<Long>, endpoint: EndpointId) {
        blocks.forEach { block -> endpointsByBlock.merge(block, setOf(endpoint)) { old, new -> old + new } }
    }

    /** Share of [blocks] that each endpoint has probably cached; endpoints with none are absent. */
    public fun cachedShares(blocks: List<Long>): Map<EndpointId, Double> {
        val counts = HashMap<EndpointId, Int>()
        var holders: Set<EndpointId>? = null
        for (block in blocks) {
            val known = endpointsByBlock[block].orEmpty()
            holders = holders?.intersect(known) ?: known
            if (holders.isEmpty()) break
            holders.forEach { counts.merge(it, 1, Int::plus) }
        }
        return counts.mapValues { (_, count) -> count.toDouble() / blocks.size }
    }

    /** Forgets [endpoint], which has restarted or left. */
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
