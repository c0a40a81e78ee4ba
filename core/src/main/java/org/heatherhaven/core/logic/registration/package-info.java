/** What the target of a node says of itself: which process life holds, and whether it still takes calls. */
package org.heatherhaven.core.logic.registration;
