package org.guavahatch.standins.engine

/**
 * Settings of a simulated inference engine.
 *
 * @property stepMilliseconds base duration of a step, default 4.0
 * @property stepPerSequenceMilliseconds duration that each decoding sequence adds to a step, default 0.15
 * @property prefillPerTokenMilliseconds duration that each computed prompt token adds to a step, default 0.02
 * @property prefillTokensPerStep maximum number of prompt tokens computed per step, default 1024
 * @property maximumSequences maximum number of sequences in the batch, default 64
 * @property memoryTokens capacity of the KV cache memory in tokens, default 200 000
 * @property cacheTokens capacity of the prefix cache in tokens, default 40 000
 * @property speed divisor of step durations; 2.0 makes the engine twice as fast, default 1.0
 * @property reportLagMilliseconds age of the reported load, default 1000
 * @property cacheEventLagMilliseconds minimum age of a cache event before it is published, default 500
 * @property lostCacheEventEveryNth every n-th cache event is dropped, default 7
 * @property checksFencing whether orders with an outdated fencing number are refused, default true
 */
internal data class EngineSettings(
    val stepMilliseconds: Double = 4.0,
    val stepPerSequenceMilliseconds: Double = 0.15,
    val prefillPerTokenMilliseconds: Double = 0.02,
    val prefillTokensPerStep: Int = 1024,
    val maximumSequences: Int = 64,
    val memoryTokens: Long = 200_000,
    val cacheTokens: Int = 40_000,
    val speed: Double = 1.0,
    val reportLagMilliseconds: Long = 1000,
    val cacheEventLagMilliseconds: Long = 500,
    val lostCacheEventEveryNth: Int = 7,
    val checksFencing: Boolean = true,
)
