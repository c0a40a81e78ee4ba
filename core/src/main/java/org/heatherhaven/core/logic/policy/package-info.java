/** Numbered policy versions: applying patches, committing them once, spreading them, knowing their age. */
package org.heatherhaven.core.logic.policy;
