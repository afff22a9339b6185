package org.guavahatch.model.check

/**
 * A settings file or a configuration that cannot be used.
 *
 * @property source file name or other origin of the document
 * @property problems everything that was found wrong, at least one
 */
public data class DocumentError(public val source: String, public val problems: List<Problem>) {
    override fun toString(): String = problems.joinToString("\n") { "$source: $it" }
}
