package org.guavahatch.standins.engine

/** Least recently used cache of prompt prefixes, in blocks of 64 tokens. */
internal class PrefixCache(cacheTokens: Int, private val onChange: (CacheChange, Long) -> Unit) {
    private val maximumBlocks = cacheTokens / BLOCK_TOKENS
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Tokens at the start of [prompt] that are cached; the whole prompt is cached from now on. */
    fun useAndStore(prompt: String): Int {
        var hash = 0L
        var isCached = true
        var cachedBlocks = 0
        prompt.chunked(BLOCK_CHARACTERS).filter { it.length == BLOCK_CHARACTERS }.forEach { block ->
            hash = hash * HASH_FACTOR + block.hashCode()
            isCached = isCached && hash in blocks
            if (isCached) cachedBlocks++
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
        const val HASH_FACTOR = 31L
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f
    }
}
