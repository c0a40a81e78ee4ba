/** Pure decisions: one package each, without input, output, threads or a look at the clock. */
package org.heatherhaven.core.logic;
