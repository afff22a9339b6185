package org.guavahatch.standins.engine

/**
 * LRU cache of prompt prefixes in blocks of 64 tokens. Contents are not kept, only a hash per block that covers the
 * prompt up to the end of the block.
 *
 * @property onChange called with the kind of change and the block hash for each block stored or evicted
 */
internal class PrefixCache(cacheTokens: Int, private val onChange: (CacheChange, Long) -> Unit) {
    private val maximumBlocks = cacheTokens / BLOCK_TOKENS

    // Ordered by access, least recently used first.
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Returns the number of cached tokens at the start of [prompt], then caches all of its full blocks. */
    fun lookUpAndStore(prompt: String): Int {
        var hash = 0L
        var isPrefixCached = true
        var cachedBlocks = 0
        prompt.chunked(BLOCK_CHARACTERS).filter { it.length == BLOCK_CHARACTERS }.forEach { block ->
            hash = hash * HASH_MULTIPLIER + block.hashCode()
            isPrefixCached = isPrefixCached && hash in blocks
            if (isPrefixCached) cachedBlocks++
            if (blocks.put(hash, Unit) == null) onChange(CacheChange.STORED, hash)
        }
        while (blocks.size > maximumBlocks) evict(blocks.keys.first())
        return cachedBlocks * BLOCK_TOKENS
    }

    private fun evict(block: Long) {
        blocks.remove(block)
        onChange(CacheChange.EVICTED, block)
    }

    private companion object {
        const val BLOCK_TOKENS = 64
        const val BLOCK_CHARACTERS = 256
        const val HASH_MULTIPLIER = 31L
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f
    }
}
